package policy

import "time"

// minHeldBytes is the size of a stage's results from which on their memory at the server
// matters.
const minHeldBytes = 256 << 10

// ReadyStage is a stage of a request whose inputs are there, running or not, in the form
// that DeferStage takes.
type ReadyStage struct {
	// Own is the expected time of the stage, and Rest that of the longest path of stages
	// that follow it.
	Own, Rest time.Duration
	// Bytes is the size of its results.
	Bytes int
}

// DeferStage reports whether a stage whose inputs are there should start only when one of
// the others has ended. Its results would wait at their server for those of the longer
// path, in memory that other requests need, and if that path fails they are of no use. It
// starts in time to be done with the longest path.
func DeferStage(s ReadyStage, others []ReadyStage) bool {
	if s.Bytes < minHeldBytes {
		return false
	}
	for _, o := range others {
		if s.Own+s.Rest <= o.Rest {
			return true
		}
	}
	return false
}
