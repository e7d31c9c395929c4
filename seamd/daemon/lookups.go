package daemon

import (
	"math/rand/v2"
	"net/http"
	"net/netip"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"
)

// lookupHandler serves callers' lookups, health checks and the status for operators.
func (d *Daemon) lookupHandler() http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/entries", d.serveEntries)
	app.Get("/v1/health", d.serveHealth)
	app.Get("/v1/status", d.serveStatus)
	if err := app.Build(); err != nil {
		d.log.Error("lookup: could not build the HTTP handler", zap.Error(err))
	}
	return app
}

// serveEntries answers which instances a caller should use. The caller's region is the
// one it names, else the region of the address that it names or calls from. If that
// region isn't known, it is this instance's.
func (d *Daemon) serveEntries(ctx iris.Context) {
	lookupTable := d.lookupTable.Load()
	region := ctx.URLParam("region")
	if region == "" {
		region = d.clientMap.region(clientAddress(ctx))
	}
	if region == "" {
		region = d.settings.Instance.Region
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	answer := lookupTable.Entries(region, callerName(ctx), rng)
	answer.Ticket = d.ticket()
	_ = ctx.JSON(answer)
}

// callerName identifies a caller by the name that it gives, else by its remote address.
func callerName(ctx iris.Context) string {
	if name := ctx.URLParam("caller"); name != "" {
		return name
	}
	return ctx.Request().RemoteAddr
}

// clientAddress returns the address that a caller names, else the one it calls from.
func clientAddress(ctx iris.Context) netip.Addr {
	if addr, err := netip.ParseAddr(ctx.URLParam("client")); err == nil {
		return addr
	}
	if addr, err := netip.ParseAddrPort(ctx.Request().RemoteAddr); err == nil {
		return addr.Addr()
	}
	return netip.Addr{}
}

// serveHealth answers with status 503 once the instance is leaving.
func (d *Daemon) serveHealth(ctx iris.Context) {
	if d.leaving.Load() {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
	_ = ctx.JSON(map[string]bool{"leaving": d.leaving.Load()})
}

// metricsHandler serves the metrics in the Prometheus text format.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
	})
	return mux
}
