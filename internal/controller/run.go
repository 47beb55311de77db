package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"nettlefold/internal/rpc"
)

// Run serves until ctx ends, and then until the others do without it or its grace is nearly over.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := c.network.Listen(c.settings.InternalAddr(c.settings.IP))
	if err != nil {
		return merry.Prepend(err, "controller: listen to machines")
	}
	if c.tallies != nil {
		go c.tallies.run()
	}
	go rpc.Serve(listener, c.handle)
	api, err := c.serveAPI()
	if err != nil {
		return err
	}
	defer listener.Close()
	c.own(ctx.Done(), nil)
	c.handOver()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.closeAPI(api)
	}()
	c.own(closed, nil)
	close(c.done)
	if c.tallies != nil {
		c.tallies.stop()
	}
	return nil
}

// own works through commands and ticks until a channel is closed, or until enough tells so after a tick.
func (c *Controller) own(end <-chan struct{}, enough func() bool) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		c.executeUrgent()
		select {
		case command := <-c.urgent:
			c.execute(command)
		case command := <-c.commands:
			c.execute(command)
		case <-ticker.C:
			c.executeWaiting()
			c.executeTick()
			if enough != nil && enough() {
				return
			}
		case <-end:
			return
		}
	}
}

// handOver tells the other machines that this one is to end, and serves on until they have a view without it.
func (c *Controller) handOver() {
	c.leaving = time.Now()
	limit := c.settings.Bounds.Grace - leaveMargin
	c.perform(c.replica.Leave(c.now()))
	if c.tallies != nil {
		c.tallies.leave()
	}
	if limit > 0 && !c.mayEnd() {
		c.own(nil, func() bool { return c.mayEnd() || time.Since(c.leaving) > limit })
	}
	c.log.Info().Str("step", "leave").Bool("handed_over", c.mayEnd()).Dur("took", time.Since(c.leaving)).Msg("ending")
}

// mayEnd tells whether the others have all that this machine is to hand over.
func (c *Controller) mayEnd() bool {
	return c.replica.SafeToStop(c.now()) && (c.tallies == nil || c.tallies.flushed.Load())
}

// closeAPI lets the operator's calls that run come to their end.
func (c *Controller) closeAPI(api *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if api.Shutdown(ctx) != nil {
		api.Close()
	}
}
