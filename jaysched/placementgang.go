package jaysched

// mayBegin reports whether a recorded run may begin: its worker is usable, and so are those of all other members
// if its task is one of a gang.
func (r *run) mayBegin() bool {
	if !r.task.step.decl.Gang {
		return r.worker.usable()
	}
	for _, t := range r.task.step.tasks {
		if !t.done && (len(t.runs) == 0 || t.runs[0].number != r.number || !t.runs[0].worker.usable()) {
			return false
		}
	}
	return true
}
