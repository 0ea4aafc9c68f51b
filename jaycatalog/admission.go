package jaycatalog

// Call is what the admission of a caller's request depends on.
type Call struct {
	Host string
	Path string
	// Key is the caller's API key, or nil if the request has none that is well-formed.
	Key []byte
}

// Admission is an admitted request.
type Admission struct {
	Queue Queue
	// Rest is the part of the path that follows the queue's prefix.
	Rest string
	// Organisation is the name of the caller's organisation; it is empty for a public
	// queue.
	Organisation string
}

// Decision is whether a request is admitted, and the reason if it is not.
type Decision uint8

// The decisions on a request.
const (
	Admitted Decision = iota
	UnknownQueue
	// KeyMissing is the decision on a request without a well-formed key, which no other
	// revision of a queue's keys would admit.
	KeyMissing
	UnknownKey
)

var decisionNames = [...]string{"admitted", "unknown queue", "key missing", "unknown key"}

// String returns the decision in lower case.
func (d Decision) String() string {
	return decisionNames[d]
}

// Admit decides on a request by this revision of the declarations.
func (c *Catalog) Admit(call Call) (Admission, Decision) {
	queue, rest, found := c.Match(call.Host, call.Path)
	if !found {
		return Admission{}, UnknownQueue
	}
	admission := Admission{Queue: queue, Rest: rest}
	if !c.NeedsKey(queue) {
		return admission, Admitted
	}
	if call.Key == nil {
		return admission, KeyMissing
	}
	organisation, known := c.Organisations.Authenticate(call.Key)
	if !known {
		return admission, UnknownKey
	}
	admission.Organisation = organisation.Name
	return admission, Admitted
}

// NeedsKey reports whether callers of a queue need a key.
func (c *Catalog) NeedsKey(queue Queue) bool {
	return c.Organisations != nil && !queue.Public
}
