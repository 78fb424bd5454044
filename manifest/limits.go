package manifest

// Limits of a document. They bound the cost of parsing one and are far above
// the largest fleet that the system is designed for.
const (
	// MaxDocumentBytes is the largest size of a document's text, in bytes.
	MaxDocumentBytes = 8 << 20
	// MaxDepth is the largest nesting depth of objects and arrays.
	MaxDepth = 16
	// MaxProblems is the largest number of entries in Errors; the last entry
	// states how many problems were left out.
	MaxProblems = 1000

	// MaxModels is the largest number of models.
	MaxModels = 1024
	// MaxVersions is the largest number of versions of one model.
	MaxVersions = 64
	// MaxCascades is the largest number of cascades.
	MaxCascades = 256
	// MaxCascadeSteps is the largest number of steps of one cascade.
	MaxCascadeSteps = 8
	// MaxServices is the largest number of plain services.
	MaxServices = 256
	// MaxRoutes is the largest number of routes of one service.
	MaxRoutes = 256
	// MaxClasses is the largest number of priority classes.
	MaxClasses = 16
	// MaxAccounts is the largest number of client accounts.
	MaxAccounts = 20000
	// MaxAccountKeys is the largest number of keys of one account.
	MaxAccountKeys = 8
	// MaxNameBytes is the largest length of a name, in bytes.
	MaxNameBytes = 64
	// MaxBuildBytes is the largest length of the build label, in bytes.
	MaxBuildBytes = 128
	// MaxPathBytes is the largest length of a route's path, in bytes.
	MaxPathBytes = 1024

	maxPrice          = 1_000_000_000_000
	maxAnswers        = 1_000_000_000
	maxRound          = 1_000_000
	maxLatencyMs      = 3_600_000
	maxRaterTimeoutMs = 600_000
	maxDeadlineMs     = 86_400_000
	maxTTLSeconds     = 30 * 86_400
	maxRate           = 1_000_000
	maxBurst          = 10_000_000
	maxWeight         = 10_000
	percent           = 100
)
