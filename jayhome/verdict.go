package jayhome

// Holding is what a pool has of a job that another pool may have received too.
type Holding uint8

// The holdings of a job.
const (
	// None is the holding of a job that the pool does not have.
	None Holding = iota
	// Unclear is that of a job that a former owner of the pool may have begun.
	Unclear
	// Disputed is that of a job that is not begun before it is settled.
	Disputed
	// Settled is that of a job that stays in the pool.
	Settled
)

// Answer is what the owner of another pool has answered about a job.
type Answer struct {
	Pool string
	// Answered is false if the owner has not answered.
	Answered bool
	Holding  Holding
}

// Verdict is what the answers of all other pools say of a disputed job.
type Verdict uint8

// The verdicts.
const (
	// Wait says that the pools are to be asked again.
	Wait Verdict = iota
	// Keep says that the job stays in the pool that has asked.
	Keep
	// Yield says that another pool has the job.
	Yield
)

// Decide returns the verdict on a job that is disputed in a pool, and the pool that has it if the verdict is
// Yield.
//
// It handles this load: two entries that know different configurations store the same job in two pools
// within milliseconds, and the owner of either pool asks the other one before it begins the job. If both
// have it and neither has begun it, the pool that is first by name goes first. An owner that has told a
// pool before its own in that order that it disputes the job must ask again, since an earlier answer of
// that pool may be outdated.
func Decide(pool string, answers []Answer) (verdict Verdict, elsewhere string) {
	verdict = Keep
	for _, a := range answers {
		switch {
		case a.Answered && a.Holding == Settled:
			return Yield, a.Pool
		case !a.Answered, a.Holding == Unclear, a.Holding == Disputed && GoesFirst(a.Pool, pool):
			verdict = Wait
		}
	}
	return verdict, ""
}

// GoesFirst reports whether a pool goes before another one if both dispute a job.
func GoesFirst(pool, other string) bool {
	return pool < other
}
