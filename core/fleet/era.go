package fleet

// FirstEra is the era of a platform's store that has never come back from an older copy
// of itself; each return raises the era by 1. A store without eras is in era 0.
const FirstEra = 1
