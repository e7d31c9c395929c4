package daemon

import (
	"math/rand/v2"
	"net/http"
	"net/netip"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"
)

// lookupHandler returns the handler for callers' lookups, health checks and operators'
// status requests. A lookup answers which instances a caller should send its requests to.
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

// serveEntries answers a lookup with the instances that the caller should use and a
// ticket for naming requests. The caller's region is the value of the query parameter
// region. If the parameter is missing, serveEntries uses the region of the address in the
// parameter client, or of the address that the caller connects from. If the region of
// that address isn't known, serveEntries uses this instance's region.
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

// callerName returns the query parameter caller, or the remote address if it is missing.
func callerName(ctx iris.Context) string {
	if name := ctx.URLParam("caller"); name != "" {
		return name
	}
	return ctx.Request().RemoteAddr
}

// clientAddress returns the IP address in the query parameter client, or the remote
// address if the parameter is missing or invalid.
func clientAddress(ctx iris.Context) netip.Addr {
	if addr, err := netip.ParseAddr(ctx.URLParam("client")); err == nil {
		return addr
	}
	if addr, err := netip.ParseAddrPort(ctx.Request().RemoteAddr); err == nil {
		return addr.Addr()
	}
	return netip.Addr{}
}

// serveHealth answers a health check. The status is 200, or 503 once the instance is
// leaving.
func (d *Daemon) serveHealth(ctx iris.Context) {
	if d.leaving.Load() {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
	_ = ctx.JSON(map[string]bool{"leaving": d.leaving.Load()})
}

// metricsHandler returns the handler that serves the metrics in the Prometheus text
// format.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
	})
	return mux
}
