package distribution

// Cause is the reason for a control message, for the byte counters.
type Cause uint8

// The causes.
const (
	CausePush Cause = iota
	CauseHeal
	CauseDigest
	CauseMembership
	CauseCensus
)

// Send is a message for one neighbour.
type Send struct {
	To    string
	Msg   *Message
	Cause Cause
}

// Effects is what the caller of an Engine method must carry out.
type Effects struct {
	Sends []Send
	// Advanced lists the documents that moved to a newer version.
	Advanced []Doc
	// MembersChanged asks for the overlay to be computed anew.
	MembersChanged bool
	// Flush asks for a call of Engine.Flush after a short while.
	Flush bool
	// Surveys holds finished queries that were asked at this node.
	Surveys []Survey
	// Errors are defects of messages, for a counter and the log.
	Errors []error
}

func (fx *Effects) send(to string, c Cause, m *Message) {
	fx.Sends = append(fx.Sends, Send{To: to, Msg: m, Cause: c})
}

func (fx *Effects) fail(err error) {
	if err != nil {
		fx.Errors = append(fx.Errors, err)
	}
}
