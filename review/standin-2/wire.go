package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// The platform's names and documents are kept out of the source.
var (
	//go:embed wire.json
	wireText []byte
	//go:embed settings.tmpl
	settingsText string
	//go:embed strict.tmpl
	strictBounds string
	//go:embed usage.tmpl
	usageBounds string
	//go:embed cloud.tmpl
	cloudSettings string
	//go:embed stream.json
	streamText string
	//go:embed keys.json
	keysText string
)

// wire holds the platform's names.
var wire = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wireText, &out); err != nil {
		panic(err)
	}
	return out
}()

// streamConfig is the configuration of a deployment with one service of engines and one
// route.
func streamConfig(slots, timeoutMs, targetMs, gapMs, attempts int, resumable bool) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(streamText, timeoutMs, targetMs, attempts, resumable, gapMs, slots))
}

// tenant is a tenant with its keys.
type tenant struct {
	name string
	keys []string
}

// keyConfig is a configuration of one route to a plain service, with tenants.
func keyConfig(version int, tenants ...tenant) json.RawMessage {
	list := []object{}
	for _, t := range tenants {
		list = append(list, object{"name": t.name, wire["keys"]: t.keys})
	}
	// A list of strings can be encoded.
	raw, _ := json.Marshal(list)
	return json.RawMessage(fmt.Sprintf(keysText, version, raw))
}
