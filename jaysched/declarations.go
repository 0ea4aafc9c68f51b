package jaysched

import "time"

// The declaration of an ended job is not needed once its end is recorded: a later owner restores the job
// from that record. The pool lists these jobs, so that their declarations can be removed long before the
// jobs expire.

// RemoveDeclaration lists a job whose end is recorded among those whose declarations can be removed.
func (p *Pool) RemoveDeclaration(id string) {
	if j, known := p.jobs[id]; known && j.recorded != Open {
		p.declaredEnded = append(p.declaredEnded, j)
	}
}

// DeclaredEnded returns the number of ended jobs whose declarations can be removed.
func (p *Pool) DeclaredEnded() int {
	return len(p.declaredEnded)
}

// TakeDeclaredEnded takes the IDs of at most some ended jobs off the list of those whose declarations can be
// removed. The declarations of jobs that ended longer ago than maxAge remain until the jobs expire: their
// removal could take effect after a later owner has forgotten a job, and remove another job of its ID.
func (p *Pool) TakeDeclaredEnded(now, maxAge time.Duration, most int) []string {
	var ids []string
	taken := 0
	for _, j := range p.declaredEnded {
		if len(ids) >= most {
			break
		}
		taken++
		if p.jobs[j.spec.ID] == j && !j.removing && now-j.endedAt < maxAge {
			j.removing = true
			ids = append(ids, j.spec.ID)
		}
	}
	clear(p.declaredEnded[:taken])
	if p.declaredEnded = p.declaredEnded[taken:]; len(p.declaredEnded) == 0 {
		p.declaredEnded = nil
	}
	return ids
}

// DeclarationsRemoved handles the result of removing the declarations of ended jobs. Those that were not
// removed are listed again.
func (p *Pool) DeclarationsRemoved(ids []string, done bool) {
	for _, id := range ids {
		j, known := p.jobs[id]
		if !known {
			continue
		}
		j.removing = false
		if !done {
			p.declaredEnded = append(p.declaredEnded, j)
		}
	}
}
