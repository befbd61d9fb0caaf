// Package dev runs an entry instance together with stand-ins for the platform,
// engines and a plain service in one process.
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/standin/service"
	"github.com/bramleywick/bramleywick/store"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
	"github.com/bramleywick/bramleywick/operator/api/v1/operatorv1connect"

	"connectrpc.com/connect"
)

//go:embed example.ini
var example string

// API keys in the example configuration.
const (
	MemberKey   = "dev-member-key"
	OperatorKey = "dev-operator-key"
)

// Serve serves a handler on the address listen until ctx ends and returns the bound
// address.
func Serve(ctx context.Context, listen string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Wrapf(err, "listen on %s", listen)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// Run starts an instance with its stand-ins, applies the example configuration,
// prints curl commands to out, serves until ctx ends and stops the instance.
func Run(ctx context.Context, log *zap.Logger, out io.Writer) error {
	outer, stopOuter := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOuter()
	d, err := Start(ctx, outer, log, "127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8083")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, `
An answer, streamed:
  curl -N http://%[1]s/v1/completions -H 'Authorization: Bearer %[3]s' -d '{"prompt":"does this batch clear export standard","max_tokens":12,"stream":true}'
A call to a plain service:
  curl http://%[1]s/accounts/balance -H 'Authorization: Bearer %[3]s' -d '{"lot":7}'
The configuration in force:
  curl http://%[2]s/bramleywick.operator.v1.OperatorService/Show -H 'Authorization: Bearer %[4]s' -H 'Content-Type: application/json' -d '{}'

`, d.Addresses.Callers, d.Addresses.Operators, MemberKey, OperatorKey)
	<-ctx.Done()
	return d.Stop()
}

// Start starts the stand-ins, which run until outer ends, and a daemon whose
// background work ends with ctx, and applies the example configuration. The daemon
// listens on the addresses callers, operators and admin.
func Start(ctx, outer context.Context, log *zap.Logger, callers, operators, admin string) (*daemon.Daemon, error) {
	platformServer := platform.New()
	address, err := Serve(outer, "127.0.0.1:0", platformServer.Handler())
	if err != nil {
		return nil, err
	}
	text, err := startUpstreams(outer)
	if err != nil {
		return nil, err
	}
	d := daemon.New(&settings.Settings{
		Instance: "dev", DataCentre: "dev-a", Platform: "http://" + address,
		CallerListen: callers, OperatorListen: operators, AdminListen: admin,
		OperatorKeyHashes: []string{declare.HashKey(OperatorKey)},
		DrainLimit:        time.Minute,
	}, log)
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	platformServer.SetInstances([]store.InstanceInfo{{ID: "dev", Address: d.Addresses.Peers, DataCentre: "dev-a"}})
	return d, Apply(ctx, d.Addresses.Operators, text)
}

// startUpstreams starts the engines and the service of the example configuration and
// returns its text with their addresses.
func startUpstreams(ctx context.Context) (string, error) {
	text := example
	for _, name := range []string{"engine-1", "engine-2", "service-1"} {
		var handler http.Handler = (&service.Server{}).Handler()
		if strings.HasPrefix(name, "engine") {
			handler = engine.New(engine.Config{
				Incarnation: fleet.Incarnation(name), TokenGap: 20 * time.Millisecond, FirstToken: 50 * time.Millisecond,
				Orders: &engine.Orders{Model: "ledger-7b", ChangeTime: 5 * time.Second},
			}).Handler()
		}
		address, err := Serve(ctx, "127.0.0.1:0", handler)
		if err != nil {
			return "", err
		}
		text = strings.ReplaceAll(text, "{"+name+"}", address)
	}
	return strings.ReplaceAll(text, "{member-key}", declare.HashKey(MemberKey)), nil
}

// Drain drains an upstream through the operators' listener at address operators.
func Drain(ctx context.Context, operators, upstream string) error {
	request := connect.NewRequest(&operatorv1.DrainRequest{Upstream: upstream})
	request.Header().Set("Authorization", "Bearer "+OperatorKey)
	_, err := operatorClient(operators).Drain(ctx, request)
	return errors.Wrapf(err, "drain %s", upstream)
}

func operatorClient(address string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address)
}

// Apply applies text as the next configuration version through the operators'
// listener at address operators.
func Apply(ctx context.Context, operators, text string) error {
	request := connect.NewRequest(&operatorv1.ApplyRequest{
		Text: text, File: "example.ini", Author: "dev", ChangeId: fmt.Sprintf("dev-%d", time.Now().UnixNano()),
	})
	request.Header().Set("Authorization", "Bearer "+OperatorKey)
	_, err := operatorClient(operators).Apply(ctx, request)
	return errors.Wrap(err, "apply the configuration")
}
