package jayapi

import (
	"github.com/valyala/fasthttp"

	"jaythread/jaystate"
	"jaythread/jaywire"
)

func (s *Server) handleStartWave(ctx *fasthttp.RequestCtx) error {
	var w Wave
	if err := readBody(ctx, &w); err != nil {
		return err
	}
	if len(w.Pools) == 0 {
		w.Pools = s.allPools()
	}
	outcome, err := s.propose(ctx, "operator", &jaywire.Command{
		Body: &jaywire.Command_StartWave{StartWave: &jaywire.StartWave{Wave: w.Wave, Pools: w.Pools}},
	})
	if err != nil {
		return err
	}
	return writeJSON(ctx, WriteResult{Offset: outcome.Offset})
}

func (s *Server) allPools() []string {
	var pools []string
	s.backend.Read(func(state *jaystate.State) {
		if config := state.Configuration(); config != nil {
			for _, p := range config.Pools {
				pools = append(pools, p.Name)
			}
		}
	})
	return pools
}

var wavePhases = map[string]jaywire.WavePhase{
	"pause":  jaywire.WavePhase_WAVE_PHASE_PAUSED,
	"resume": jaywire.WavePhase_WAVE_PHASE_RUNNING,
	"cancel": jaywire.WavePhase_WAVE_PHASE_CANCELLED,
}

func (s *Server) handleWavePhase(ctx *fasthttp.RequestCtx) error {
	parts := pathParts(ctx)
	if len(parts) != 2 {
		return badRequest{text: "want /v1/waves/WAVE/pause, resume or cancel"}
	}
	phase, ok := wavePhases[parts[1]]
	if !ok {
		return badRequest{text: parts[1] + " is none of pause, resume, cancel"}
	}
	var version uint64
	s.backend.Read(func(state *jaystate.State) {
		if w, known := state.Wave(parts[0]); known {
			version = w.Version
		}
	})
	outcome, err := s.propose(ctx, "operator", &jaywire.Command{
		Base: version,
		Body: &jaywire.Command_SetWavePhase{SetWavePhase: &jaywire.SetWavePhase{Wave: parts[0], Phase: phase}},
	})
	if err != nil {
		return err
	}
	return writeJSON(ctx, WriteResult{Offset: outcome.Offset})
}
