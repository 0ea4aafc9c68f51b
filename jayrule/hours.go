package jayrule

import (
	"fmt"
	"time"
)

// ParseHours parses an interval of the form HH:MM-HH:MM and returns its ends in minutes
// since midnight.
func ParseHours(text string) (from, to int, err error) {
	var h1, m1, h2, m2 int
	n, _ := fmt.Sscanf(text, "%d:%d-%d:%d", &h1, &m1, &h2, &m2)
	valid := n == 4 && h1 >= 0 && h1 < 24 && h2 >= 0 && h2 <= 24 && m1 >= 0 && m1 < 60 && m2 >= 0 && m2 < 60
	if !valid {
		return 0, 0, fmt.Errorf("%q is not HH:MM-HH:MM", text)
	}
	return h1*60 + m1, h2*60 + m2, nil
}

func inHours(text string, at time.Time) bool {
	from, to, err := ParseHours(text)
	if err != nil {
		return false
	}
	minute := at.Hour()*60 + at.Minute()
	if from <= to {
		return minute >= from && minute < to
	}
	return minute >= from || minute < to
}
