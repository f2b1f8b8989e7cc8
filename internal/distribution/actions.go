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

// OutboundMessage is a message for one neighbour.
type OutboundMessage struct {
	To    string
	Msg   *Message
	Cause Cause
}

// Actions is what the caller of an Engine method must carry out.
type Actions struct {
	Messages []OutboundMessage
	// Advanced lists the documents that moved to a newer version.
	Advanced []Doc
	// MembersChanged asks for the overlay to be computed anew.
	MembersChanged bool
	// Flush asks for a call of Engine.Flush after a short while.
	Flush bool
	// StatusResults holds finished queries that were asked at this node.
	StatusResults []StatusResult
	// Errors are defects of messages, for a counter and the log.
	Errors []error
}

func (fx *Actions) send(to string, c Cause, m *Message) {
	fx.Messages = append(fx.Messages, OutboundMessage{To: to, Msg: m, Cause: c})
}

func (fx *Actions) fail(err error) {
	if err != nil {
		fx.Errors = append(fx.Errors, err)
	}
}
