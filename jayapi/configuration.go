package jayapi

import (
	"github.com/valyala/fasthttp"

	"jaythread/jayconfig"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

func (s *Server) handleConfiguration(ctx *fasthttp.RequestCtx) error {
	return writeJSON(ctx, s.inForce())
}

func (s *Server) inForce() *Configuration {
	c := &Configuration{}
	s.backend.Read(func(state *jaystate.State) {
		c.Revision = state.Revision.Number
		c.Author = state.Revision.Author
		c.Message = state.Revision.Message
		c.Document = string(state.Revision.Document)
	})
	return c
}

func (s *Server) handlePublish(ctx *fasthttp.RequestCtx) error {
	var p Publish
	if err := readBody(ctx, &p); err != nil {
		return err
	}
	// The document is checked again when the command is applied to the state;
	// refusing it here saves a write to the log.
	if _, err := jayconfig.Parse("configuration", []byte(p.Document)); err != nil {
		return err
	}
	outcome, err := s.propose(ctx, p.Message, &jaywire.Command{
		Body: &jaywire.Command_PublishConfiguration{PublishConfiguration: &jaywire.PublishConfiguration{
			Replaces: p.Replaces,
			Document: []byte(p.Document),
			Message:  p.Message,
		}},
	})
	if err != nil {
		return err
	}
	return writeJSON(ctx, WriteResult{Offset: outcome.Offset, Revision: outcome.Offset + 1})
}

func (s *Server) handleInForce(ctx *fasthttp.RequestCtx) error {
	revision, err := queryNumber(ctx, "revision")
	if err != nil {
		return err
	}
	response := RevisionStatus{Revision: revision, Entries: s.backend.Revisions(), Everywhere: true}
	for _, in := range response.Entries {
		response.Everywhere = response.Everywhere && in >= revision
	}
	return writeJSON(ctx, response)
}
