// Package serve builds and runs the components of one instance: the control
// plane, the request path, the management of endpoints, training and usage.
//
// # Usage
//
//	err := serve.Run(ctx, settings, log) // returns after ctx has ended and the shutdown is complete
//
// The end of ctx starts the planned shutdown: the readiness probe fails, running
// work finishes, usage is sealed, and the leases are released, in this order.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonpin/wigeonpin/internal/base/clock"
	"github.com/wigeonpin/wigeonpin/internal/base/logs"
	"github.com/wigeonpin/wigeonpin/internal/base/meter"
	"github.com/wigeonpin/wigeonpin/internal/base/setting"
	"github.com/wigeonpin/wigeonpin/internal/peer/fleet"
)

// closeTimeout bounds the steps of a shutdown that follow the end of the running
// work.
const closeTimeout = 10 * time.Second

// Run serves until ctx ends, an operator requests the shutdown or a component
// fails. It returns after the planned shutdown.
func Run(ctx context.Context, settings setting.Settings, log *logrus.Entry) error {
	i, err := build(settings, clock.NewSystem(), meter.NewSet(), log)
	if err != nil {
		return err
	}
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	i.meters.Publish("wigeonpin")
	return i.run(ctx, listeners)
}

type listeners struct{ callers, peers, operators net.Listener }

func (i *instance) listen() (listeners, error) {
	var l listeners
	var err error
	for _, socket := range []struct {
		address  string
		listener *net.Listener
	}{{i.settings.Listen, &l.callers}, {i.settings.Peer, &l.peers}, {i.settings.Operator, &l.operators}} {
		if *socket.listener, err = net.Listen("tcp", socket.address); err != nil {
			return l, eris.Wrapf(err, "listen on %s", socket.address)
		}
	}
	return l, nil
}

// run starts all components. They get a context of their own, which ends only
// after the last request, because they are needed during the shutdown.
func (i *instance) run(ctx context.Context, l listeners) error {
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	servers := map[net.Listener]*http.Server{
		l.callers: i.entry.Server(),
		fleet.NewCountingListener(l.peers, i.meters): {Handler: i.peerHandler(), ReadHeaderTimeout: setting.Milliseconds(i.settings.HeaderMS)},
		l.operators: {Handler: i.operatorHandler(), ReadHeaderTimeout: setting.Milliseconds(i.settings.HeaderMS)},
	}
	group, failed := errgroup.WithContext(ctx)
	for listener, server := range servers {
		group.Go(func() error { return serveUntilClosed(server, listener) })
	}
	components, _ := errgroup.WithContext(componentCtx)
	for name, component := range i.components() {
		components.Go(func() error { return i.runComponent(componentCtx, name, component) })
	}
	i.log.WithField("listen", i.settings.Listen).Info("instance started")
	select {
	case <-failed.Done():
	case <-i.drain:
	}
	i.shutdown(stopComponents, servers)
	// Components return the context's error, which is not a failure.
	_ = components.Wait()
	return group.Wait()
}

func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve on %s", listener.Addr())
	}
	return nil
}

// runComponent runs one component. If the component fails, the instance shuts
// down, so that it is replaced instead of serving without the component.
func (i *instance) runComponent(ctx context.Context, name string, component func(context.Context) error) error {
	err := component(ctx)
	if err != nil && ctx.Err() == nil {
		i.log.WithFields(logrus.Fields{"part": name, logs.Cause: err.Error()}).Error("a part of the instance ended")
		i.startDrain()
	}
	return err
}

// shutdown stops the instance in an order that loses no work: it stops new work,
// lets running work finish, seals the usage and ends delegations and leases.
func (i *instance) shutdown(stopComponents context.CancelFunc, servers map[net.Listener]*http.Server) {
	i.log.Info("planned shutdown started")
	limit := setting.Milliseconds(i.settings.DrainDelayMS + i.settings.DrainLimitMS)
	drainCtx, cancel := context.WithTimeout(context.Background(), limit+closeTimeout)
	defer cancel()
	if err := i.entry.Drain(drainCtx); err != nil {
		i.log.WithField(logs.Cause, err.Error()).Warn("requests were still running at the end of the drain limit")
	}
	i.steps.Close()
	i.dispatcher.Close()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	if err := i.usage.Close(closeCtx); err != nil {
		i.log.WithField(logs.Cause, err.Error()).Warn("usage records not sealed before the shutdown; the holder of their second copy seals them")
	}
	i.pool.Leave()
	stopComponents()
	i.leases.Wait()
	for _, server := range servers {
		if err := server.Shutdown(closeCtx); err != nil {
			i.log.WithField(logs.Cause, err.Error()).Warn("HTTP server did not shut down in time")
		}
	}
	i.engines.Close()
	i.services.Close()
	i.log.Info("planned shutdown finished")
}
