package jayapi

import (
	"github.com/valyala/fasthttp"

	"jaythread/jaystate"
	"jaythread/jaywire"
)

func (s *Server) handleMove(ctx *fasthttp.RequestCtx) error {
	var m Move
	if err := readBody(ctx, &m); err != nil {
		return err
	}
	return s.proposeByOperator(ctx, &jaywire.Command{
		Base: s.versionOf(m.Instance),
		Body: &jaywire.Command_DrainForMove{DrainForMove: &jaywire.DrainForMove{Instance: m.Instance, ToPool: m.Pool}},
	})
}

// handleReleaseJob releases a parked job, so that its tasks are placed again.
func (s *Server) handleReleaseJob(ctx *fasthttp.RequestCtx) error {
	parts := pathParts(ctx)
	if len(parts) != 2 || parts[1] != "release" {
		return badRequest{text: "want /v1/jobs/JOB/release"}
	}
	return s.proposeByOperator(ctx, &jaywire.Command{
		Body: &jaywire.Command_ParkJob{ParkJob: &jaywire.ParkJob{Job: parts[0], Released: true}},
	})
}

// handleQuarantine puts an instance under quarantine or lifts its quarantine.
func (s *Server) handleQuarantine(ctx *fasthttp.RequestCtx) error {
	parts := pathParts(ctx)
	if len(parts) != 2 || parts[1] != "set" && parts[1] != "lift" {
		return badRequest{text: "want /v1/quarantine/INSTANCE/set or lift"}
	}
	return s.proposeByOperator(ctx, &jaywire.Command{
		Base: s.versionOf(parts[0]),
		Body: &jaywire.Command_QuarantineInstance{QuarantineInstance: &jaywire.QuarantineInstance{
			Instance: parts[0],
			Lifted:   parts[1] == "lift",
		}},
	})
}

// versionOf returns the version of an instance, or zero if it is not known.
func (s *Server) versionOf(instance string) uint64 {
	var version uint64
	s.backend.Read(func(state *jaystate.State) {
		if i, known := state.Fleet.Instance(instance); known {
			version = i.Version
		}
	})
	return version
}

// proposeByOperator proposes a command for which the operator gives no reason, and
// writes the response.
func (s *Server) proposeByOperator(ctx *fasthttp.RequestCtx, c *jaywire.Command) error {
	outcome, err := s.propose(ctx, "operator", c)
	if err != nil {
		return err
	}
	return writeJSON(ctx, WriteResult{Offset: outcome.Offset})
}
