package controller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/listen"
	"nettlefold/internal/rpc"
)

// Run serves until ctx ends, as soon as its addresses are free. Then it hands off its role and goes on serving until the other
// machines have a view without it or the shutdown grace is nearly used up.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := c.listen(ctx, c.settings.InternalAddr(c.settings.IP))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "controller: listen for machines")
	}
	defer listener.Close()
	apiListener, err := c.listen(ctx, c.settings.ControlAddr)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "controller: listen for the operator's API")
	}
	if c.tallies != nil {
		go c.tallies.run()
	}
	go rpc.Serve(listener, c.handleRPC)
	api := c.serveAPI(apiListener)
	c.runLoop(ctx.Done(), nil)
	c.handOff()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.shutDownAPI(api)
	}()
	c.runLoop(closed, nil)
	close(c.done)
	if c.tallies != nil {
		c.tallies.stop()
	}
	return nil
}

// listen listens at an address once that is possible.
func (c *Controller) listen(ctx context.Context, addr string) (net.Listener, error) {
	return listen.Await(ctx, func() (net.Listener, error) { return c.network.Listen(addr) }, listen.LogTo(c.log, addr))
}

// runLoop executes commands and ticks until end is closed, or until finished returns true after a
// tick.
func (c *Controller) runLoop(end <-chan struct{}, finished func() bool) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.drainUrgentCommands()
		select {
		case command := <-c.urgentCommands:
			c.execute(command)
		case command := <-c.commands:
			c.execute(command)
		case <-ticker.C:
			c.drainCommands()
			c.executeTick()
			if finished != nil && finished() {
				return
			}
		case <-end:
			return
		}
	}
}

// handOff announces the shutdown to the other machines, and goes on serving until they have a view
// without this one.
func (c *Controller) handOff() {
	c.leaveStartedAt = time.Now()
	limit := c.settings.Bounds.Grace - shutdownMargin
	c.applyOutput(c.replica.Leave(c.sinceStart()))
	if c.tallies != nil {
		c.tallies.leave()
	}
	if limit > 0 && !c.handOffComplete() {
		c.runLoop(nil, func() bool { return c.handOffComplete() || time.Since(c.leaveStartedAt) > limit })
	}
	if c.tallies != nil {
		c.tallies.logHandOff()
	}
	c.log.Info().Str("step", "leave").Bool("handed_over", c.handOffComplete()).Dur("took", time.Since(c.leaveStartedAt)).Msg("shutting down")
}

// handOffComplete reports whether the other machines have all state that only this machine held.
func (c *Controller) handOffComplete() bool {
	return c.replica.SafeToStop(c.sinceStart()) && (c.tallies == nil || c.tallies.flushed.Load())
}

// shutDownAPI lets the operator's requests in progress finish, then closes the server.
func (c *Controller) shutDownAPI(api *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if api.Shutdown(ctx) != nil {
		api.Close()
	}
}
