package daemon

import (
	"math/rand/v2"
	"net/http"
	"net/netip"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"
)

// lookupHandler serves callers' look-ups and the operators' pages.
func (d *Daemon) lookupHandler() http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/entries", d.serveEntries)
	app.Get("/v1/health", d.serveHealth)
	app.Get("/v1/status", d.serveStatus)
	if err := app.Build(); err != nil {
		d.log.Error("lookup: build failed", zap.Error(err))
	}
	return app
}

// serveEntries answers which instances a caller should use. The caller names
// its region, or an address, or is known by the address it calls from.
func (d *Daemon) serveEntries(ctx iris.Context) {
	table := d.table.Load()
	region := ctx.URLParam("region")
	if region == "" {
		region = d.clients.region(clientAddress(ctx))
	}
	if region == "" {
		region = d.settings.Instance.Region
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	answer := table.Entries(region, callerName(ctx), rng)
	answer.Ticket = d.ticket()
	_ = ctx.JSON(answer)
}

// callerName tells callers apart: by the name that they give, else by their
// connection.
func callerName(ctx iris.Context) string {
	if name := ctx.URLParam("caller"); name != "" {
		return name
	}
	return ctx.Request().RemoteAddr
}

func clientAddress(ctx iris.Context) netip.Addr {
	if addr, err := netip.ParseAddr(ctx.URLParam("client")); err == nil {
		return addr
	}
	if addr, err := netip.ParseAddrPort(ctx.Request().RemoteAddr); err == nil {
		return addr.Addr()
	}
	return netip.Addr{}
}

func (d *Daemon) serveHealth(ctx iris.Context) {
	if d.leaving.Load() {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
	_ = ctx.JSON(map[string]bool{"leaving": d.leaving.Load()})
}

// metricsHandler serves the metrics in Prometheus text.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
	})
	return mux
}
