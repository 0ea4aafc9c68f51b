package jaystandin

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayplatform"
)

// Platform is the simulated platform: a log service, an instance list and workers.
type Platform struct {
	Log   *LogService
	Fleet *Fleet
}

// Serve serves the platform's HTTP API on a listener until the listener is closed.
func (p *Platform) Serve(listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               p.Handle,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
		Logger:                discardLogger{},
	}
	return server.Serve(listener)
}

// Handle handles one request to the platform's HTTP API.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	switch {
	case len(parts) == 3 && parts[0] == "streams" && ctx.IsPost():
		p.handleAppend(ctx, parts[1])
	case len(parts) == 3 && parts[0] == "streams":
		p.handleRead(ctx, parts[1])
	case len(parts) == 1 && parts[0] == "instances" && ctx.IsPost():
		p.handleEntry(ctx)
	case len(parts) == 1 && parts[0] == "instances":
		changes, err := p.Fleet.Since(queryNumber(ctx, "since"), queryWait(ctx))
		respond(ctx, changes, err)
	case len(parts) == 3 && parts[0] == "instances" && ctx.IsPost():
		p.handleOrder(ctx, parts[1], parts[2])
	case len(parts) == 1 && parts[0] == "counters":
		respond(ctx, p.Fleet.Ledger.Counters(), nil)
	case len(parts) == 2 && parts[0] == "faults" && ctx.IsPost():
		p.handleFaults(ctx, parts[1])
	case len(parts) == 3 && parts[0] == "faults" && ctx.IsPost():
		p.handleWorkerFaults(ctx, parts[2])
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleAppend(ctx *fasthttp.RequestCtx, stream string) {
	offset, err := p.Log.Append(stream, ctx.PostBody())
	respond(ctx, map[string]uint64{"offset": offset}, err)
}

func (p *Platform) handleRead(ctx *fasthttp.RequestCtx, stream string) {
	page, err := p.Log.Read(stream, queryNumber(ctx, "from"), queryWait(ctx))
	if errors.Is(err, jayplatform.ErrExpired) {
		respond(ctx, page, nil)
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	respond(ctx, page, err)
}

// handleEntry registers an entry instance on behalf of the operator of a trial. A real
// platform has its own inventory of instances.
func (p *Platform) handleEntry(ctx *fasthttp.RequestCtx) {
	var i jayplatform.Instance
	err := json.Unmarshal(ctx.PostBody(), &i)
	if err == nil {
		p.Fleet.SetEntry(i)
	}
	respond(ctx, i, asRefused(err))
}

func (p *Platform) handleOrder(ctx *fasthttp.RequestCtx, instance, name string) {
	order, err := parseOrder(name, ctx.PostBody())
	if err == nil {
		err = p.Fleet.Do(instance, queryNumber(ctx, "fence"), order)
	}
	respond(ctx, struct{}{}, err)
}

// handleFaults sets the faults of the log service, drops old records of a stream, or kills
// or restarts the worker named in the query.
func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx, what string) {
	worker := string(ctx.QueryArgs().Peek("worker"))
	switch what {
	case "log":
		var f LogFaults
		err := json.Unmarshal(ctx.PostBody(), &f)
		if err == nil {
			p.Log.SetFaults(f)
		}
		respond(ctx, f, asRefused(err))
	case "kill":
		p.Fleet.Kill(worker)
		respond(ctx, struct{}{}, nil)
	case "expire":
		p.Log.Expire(string(ctx.QueryArgs().Peek("stream")), queryNumber(ctx, "before"))
		respond(ctx, struct{}{}, nil)
	case "revive":
		respond(ctx, struct{}{}, asRefused(p.Fleet.Restart(worker)))
	default:
		ctx.Error("faults are log, expire, kill, revive, worker/ID", fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleWorkerFaults(ctx *fasthttp.RequestCtx, id string) {
	w, ok := p.Fleet.Worker(id)
	if !ok {
		ctx.Error("no such worker", fasthttp.StatusNotFound)
		return
	}
	var f WorkerFaults
	err := json.Unmarshal(ctx.PostBody(), &f)
	if err == nil {
		w.SetFaults(f)
	}
	respond(ctx, f, asRefused(err))
}

func parseOrder(name string, body []byte) (jayplatform.Order, error) {
	switch name {
	case "drain":
		return jayplatform.Drain{}, nil
	case "undrain":
		return jayplatform.Undrain{}, nil
	case "reboot":
		return jayplatform.Reboot{}, nil
	case "startTask":
		var a jayplatform.StartTask
		return a, asRefused(json.Unmarshal(body, &a))
	case "stopTask":
		var a jayplatform.StopTask
		return a, asRefused(json.Unmarshal(body, &a))
	default:
		return nil, errors.Join(jayplatform.ErrRefused, errors.New("no such order: "+name))
	}
}

func asRefused(err error) error {
	if err == nil {
		return nil
	}
	return errors.Join(jayplatform.ErrRefused, err)
}

func queryNumber(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	return n
}

func queryWait(ctx *fasthttp.RequestCtx) time.Duration {
	return time.Duration(queryNumber(ctx, "waitMillis")) * time.Millisecond
}

func respond(ctx *fasthttp.RequestCtx, body any, err error) {
	if err != nil {
		status := fasthttp.StatusServiceUnavailable
		if errors.Is(err, jayplatform.ErrRefused) {
			status = fasthttp.StatusBadRequest
		}
		ctx.Error(err.Error(), status)
		return
	}
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
