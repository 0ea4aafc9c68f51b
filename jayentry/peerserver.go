package jayentry

import (
	"jaythread/jaywire"
)

// handlePeer answers a request from a peer.
func (e *Entry) handlePeer(request *jaywire.PeerRequest) *jaywire.PeerResponse {
	switch body := request.Body.(type) {
	case *jaywire.PeerRequest_Heartbeat:
		ack := e.members.HandleHeartbeat(request.From, body.Heartbeat, e.stateFollower.Age(), e.notePeerLeaving)
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_HeartbeatAck{HeartbeatAck: ack}}
	case *jaywire.PeerRequest_FetchState:
		snapshot, err := e.store.Snapshot()
		if err != nil {
			return &jaywire.PeerResponse{}
		}
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Snapshot{Snapshot: snapshot}}
	case *jaywire.PeerRequest_Claim:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_ClaimAnswer{ClaimAnswer: e.claimer.HandleClaim(body.Claim)}}
	case *jaywire.PeerRequest_FetchAnswer:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_StoredAnswer{StoredAnswer: e.claimer.HandleFetch(body.FetchAnswer)}}
	case *jaywire.PeerRequest_StoreAnswer:
		e.claimer.HandleStore(body.StoreAnswer)
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Stored{Stored: &jaywire.Stored{}}}
	case *jaywire.PeerRequest_FetchClaims:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Claims{Claims: e.claimer.HandleFetchClaims()}}
	default:
		return &jaywire.PeerResponse{}
	}
}
