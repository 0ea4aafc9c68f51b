package jayapi

import (
	"strings"

	"github.com/valyala/fasthttp"

	"jaythread/jaystate"
	"jaythread/jaywire"
)

func (s *Server) handleAudit(ctx *fasthttp.RequestCtx) error {
	from, err := queryNumber(ctx, "from")
	if err != nil {
		return err
	}
	kind := string(ctx.QueryArgs().Peek("kind"))
	subject := string(ctx.QueryArgs().Peek("subject"))
	actor := string(ctx.QueryArgs().Peek("actor"))
	entries := []AuditEntry{}
	s.backend.Read(func(state *jaystate.State) {
		for _, e := range state.Audit() {
			wanted := e.Offset >= from && (kind == "" || e.Kind == kind) &&
				strings.Contains(e.Subject, subject) && strings.Contains(e.Actor, actor)
			if wanted {
				entries = append(entries, auditEntry(e))
			}
		}
	})
	return writeJSON(ctx, entries)
}

func auditEntry(e *jaywire.AuditEntry) AuditEntry {
	return AuditEntry{
		Offset:     e.Offset,
		UnixMillis: e.UnixMillis,
		Actor:      e.Actor,
		Kind:       e.Kind,
		Subject:    e.Subject,
		Before:     e.Before,
		After:      e.After,
		Reason:     e.Reason,
		Rejected:   e.Rejected,
	}
}
