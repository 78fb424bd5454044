package capacity

// ID names a slope.
type ID string

// The slopes. Times are in microseconds of processor time, sizes in bytes;
// bytes on the wire are without the headers of TCP and IP.
const (
	// Calls of the platform.
	GetBytes     ID = "table-get-bytes"
	GetCPU       ID = "table-get-cpu"
	CommitBytes  ID = "table-commit-bytes"
	CommitCPU    ID = "table-commit-cpu"
	ListBytes    ID = "table-list-bytes"
	ListCPU      ID = "table-list-cpu"
	ObjectBytes  ID = "object-read-bytes"
	HostsBytes   ID = "host-list-bytes"
	HostsCPU     ID = "host-list-cpu"
	HostsMemory  ID = "host-list-memory"
	PollBytes    ID = "load-poll-bytes"
	PollCPU      ID = "load-poll-cpu"
	PollMemory   ID = "load-poll-memory"
	UpdateCPU    ID = "pool-update-cpu"
	PoolMemory   ID = "pool-memory"
	PrefixMemory ID = "prefix-block-memory"
	ChooseCPU    ID = "choose-cpu"

	// Between entry hosts.
	CallBytes        ID = "peer-call-bytes"
	CallCPU          ID = "peer-call-cpu"
	DialBytes        ID = "peer-dial-bytes"
	DialCPU          ID = "peer-dial-cpu"
	ConnMemory       ID = "peer-connection-memory"
	GossipBytes      ID = "membership-bytes"
	GossipCalls      ID = "membership-calls"
	GossipCPU        ID = "membership-cpu"
	MemberMemory     ID = "membership-memory"
	FactBytes        ID = "membership-fact-bytes"
	ViewBytes        ID = "config-view-bytes"
	EvidenceOwnBytes ID = "evidence-own-bytes"
	EvidenceBytes    ID = "evidence-bytes"
	EvidenceCPU      ID = "evidence-merge-cpu"
	EvidenceHeap     ID = "evidence-memory"

	// The manifest.
	LoadCPU        ID = "manifest-load-cpu"
	LoadMemory     ID = "manifest-memory"
	DeltaBytes     ID = "manifest-delta-bytes"
	SetLimitsCPU   ID = "quota-set-limits-cpu"
	QuotaPassBytes ID = "quota-pass-bytes"
	QuotaPassCPU   ID = "quota-pass-cpu"
	QuotaMemory    ID = "quota-memory"

	// Requests.
	BillBytes    ID = "bill-bytes"
	BillCPU      ID = "bill-cpu"
	BillMemory   ID = "bill-memory"
	ClaimCommits ID = "claim-commits"
	ClaimReads   ID = "claim-reads"
	ClaimBytes   ID = "claim-row-bytes"
	ClaimCPU     ID = "claim-cpu"
	TokenCPU     ID = "session-token-cpu"
	TokenBytes   ID = "session-token-bytes"
	BindReads    ID = "session-bind-reads"
	BindCommits  ID = "session-bind-commits"
	BindMemory   ID = "session-binding-memory"
	AdmitCPU     ID = "admission-cpu"
	WaitMemory   ID = "admission-waiting-memory"
	RequestCPU   ID = "request-cpu"
	FrameBytes   ID = "frame-bytes"
	StreamMemory ID = "stream-memory"
	LogBytes     ID = "log-bytes"
	LogLines     ID = "log-lines"
	ScrapeBytes  ID = "metrics-scrape-bytes"
	IdleCPU      ID = "idle-host-cpu"
	IdleMemory   ID = "idle-host-memory"
)

var allIDs = []ID{
	GetBytes, GetCPU, CommitBytes, CommitCPU, ListBytes, ListCPU, ObjectBytes,
	HostsBytes, HostsCPU, HostsMemory, PollBytes, PollCPU, PollMemory, UpdateCPU,
	PoolMemory, PrefixMemory, ChooseCPU, CallBytes, CallCPU, DialBytes, DialCPU,
	ConnMemory, GossipBytes, GossipCalls, GossipCPU, MemberMemory, FactBytes,
	ViewBytes, EvidenceOwnBytes, EvidenceBytes, EvidenceCPU, EvidenceHeap, LoadCPU, LoadMemory,
	DeltaBytes, SetLimitsCPU, QuotaPassBytes, QuotaPassCPU, QuotaMemory, BillBytes,
	BillCPU, BillMemory, ClaimCommits, ClaimReads, ClaimBytes, ClaimCPU, TokenCPU,
	TokenBytes, BindReads, BindCommits, BindMemory, AdmitCPU, WaitMemory,
	RequestCPU, FrameBytes, StreamMemory, LogBytes, LogLines,
	ScrapeBytes, IdleCPU, IdleMemory,
}
