package jaymember

import "github.com/google/uuid"

// incarnationDigits is the number of random digits that distinguish the processes of one
// entry.
const incarnationDigits = 8

// NewIncarnation returns a unique name for a process of an entry.
func NewIncarnation(entry string) string {
	return entry + "-" + uuid.NewString()[:incarnationDigits]
}

// EntryOf returns the name of the entry that an incarnation belongs to.
func EntryOf(incarnation string) string {
	return incarnation[:max(0, len(incarnation)-incarnationDigits-1)]
}
