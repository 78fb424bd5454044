package manifest

// Limits of a document. They bound the cost of reading one and are far above
// the largest fleet that the system is designed for.
const (
	// MaxBytes is the size of a document's text in bytes.
	MaxBytes = 8 << 20
	// MaxDepth is how deep objects and arrays may nest.
	MaxDepth = 16
	// MaxProblems is how many problems one report holds; the last entry
	// states how many were left out.
	MaxProblems = 1000

	// MaxModels is the number of models.
	MaxModels = 1024
	// MaxVersions is the number of versions of one model.
	MaxVersions = 64
	// MaxCascades is the number of cascades.
	MaxCascades = 256
	// MaxSteps is the number of steps of one cascade.
	MaxSteps = 8
	// MaxServices is the number of plain services.
	MaxServices = 256
	// MaxRoutes is the number of routes of one service.
	MaxRoutes = 256
	// MaxClasses is the number of priority classes.
	MaxClasses = 16
	// MaxAccounts is the number of client accounts.
	MaxAccounts = 20000
	// MaxKeys is the number of keys of one account.
	MaxKeys = 8
	// MaxName is the length of a name in bytes.
	MaxName = 64
	// MaxBuild is the length of the build label in bytes.
	MaxBuild = 128
	// MaxPath is the length of a route's path in bytes.
	MaxPath = 1024

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
