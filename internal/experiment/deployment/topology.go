package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// The size of the deployment.
const (
	entryHostCount   = 7
	smallEngineCount = 12
	largeEngineCount = 6
	deskHostCount    = 3
	accountCount     = 10
	// largeAccountCount is the number of large accounts, which come first. Each
	// sends the fraction largeShare of the requests; the others send the rest.
	largeAccountCount = 2
	largeShare        = 0.3
)

// Parameters of the engines, with times scaled down, and of the services.
const (
	engineCapacity    = 4
	smallTimePerToken = 12 * time.Millisecond
	largeSlowdown     = 2
	prefillPerToken   = 20 * time.Microsecond
	batchSlowdown     = 0.1
	loadReportDelay   = 500 * time.Millisecond
	hostListDelay     = 2 * time.Second
	// cacheBlocks is the size of the prefix cache of an engine, enough for
	// about twelve documents.
	cacheBlocks = 256
	deskRunTime = 20 * time.Millisecond
)

// The rater's mean rating and noise for each model, and the target of the
// cascade.
const (
	smallQuality = 0.65
	largeQuality = 0.85
	ratingNoise  = 0.12
	target       = 0.6
)

// Models and routes.
const (
	modelSmall  = "small"
	modelLarge  = "large"
	cascadeAsk  = "ask"
	serviceDesk = "desk"
	versionOld  = "v1"
	versionNew  = "v2"
)

// class is a priority class with the properties of its requests.
type class struct {
	name     string
	deadline time.Duration
	// share is the fraction of the requests.
	share float64
	// tokens is the length of an answer in tokens.
	tokens int
	// minShare is the percentage of the capacity reserved for the class.
	minShare int
}

var classes = []class{
	{name: "reports", deadline: 5 * time.Second, share: 0.2, tokens: 24},
	{name: "questions", deadline: 2 * time.Second, share: 0.3, tokens: 16, minShare: 20},
	{name: "narration", deadline: time.Second, share: 0.5, tokens: 10, minShare: 10},
}

// rollIn describes the roll-out of the second version of the small model; nil
// means no roll-out.
type rollIn struct {
	share    int
	exposure *manifest.Exposure
}

func topology(roll *rollIn) (*devenv.Topology, error) {
	document, err := json.Marshal(manifestDocument(roll))
	if err != nil {
		return nil, err
	}
	t := &devenv.Topology{
		Manifest:       document,
		Platform:       platformd.Options{Rater: raterOptions()},
		ServiceOptions: service.Options{RunTime: deskRunTime},
	}
	for range smallEngineCount {
		t.Engines = append(t.Engines, devenv.Engine{Versions: []string{modelSmall + "@" + versionOld, modelSmall + "@" + versionNew}})
	}
	for range largeEngineCount {
		t.Engines = append(t.Engines, devenv.Engine{Versions: []string{modelLarge + "@" + versionOld}, Speed: 1.0 / largeSlowdown})
	}
	for range deskHostCount {
		t.Services = append(t.Services, serviceDesk)
	}
	return t, nil
}

func engineOptions(seed int) engine.Options {
	return engine.Options{
		Capacity:        engineCapacity,
		PrefillPerToken: prefillPerToken,
		TimePerToken:    smallTimePerToken,
		BatchSlowdown:   batchSlowdown,
		CacheBlocks:     cacheBlocks,
		LoadLag:         loadReportDelay,
		Seed:            uint64(seed),
	}
}

func raterOptions() memory.RaterOptions {
	return memory.RaterOptions{
		Quality: map[string]float64{
			modelSmall + "@" + versionOld: smallQuality,
			modelSmall + "@" + versionNew: smallQuality,
			modelLarge + "@" + versionOld: largeQuality,
		},
		Noise: ratingNoise,
	}
}

func manifestDocument(roll *rollIn) manifest.Document {
	doc := manifest.Document{
		Format: manifest.Format,
		Build:  "deployment",
		Models: []manifest.Model{
			{Name: modelSmall, Versions: smallVersions(roll)},
			{Name: modelLarge, Versions: []manifest.Version{{
				Name: versionOld, State: manifest.Serving, Share: 100, PromptPrice: 1000, CompletionPrice: 3000,
			}}},
		},
		Cascades: []manifest.Cascade{{
			Name: cascadeAsk, Steps: []string{modelSmall, modelLarge}, Target: target,
			RaterTimeoutMs: 200, OnRaterFailure: manifest.Accept,
		}},
		Services: []manifest.Service{{Name: serviceDesk, Routes: []manifest.Route{
			{Method: "POST", Path: "/confirmations"},
		}}},
		Sessions: manifest.Sessions{TTLSeconds: 3600, OnWithdrawn: manifest.Rebind},
	}
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.name
		doc.Classes = append(doc.Classes, manifest.Class{Name: c.name, DeadlineMs: int(c.deadline.Milliseconds()), MinShare: c.minShare})
	}
	for i := range accountCount {
		doc.Accounts = append(doc.Accounts, accountEntry(i, names))
	}
	return doc
}

func smallVersions(roll *rollIn) []manifest.Version {
	old := manifest.Version{Name: versionOld, State: manifest.Serving, Share: 100, PromptPrice: 100, CompletionPrice: 300}
	if roll == nil {
		return []manifest.Version{old}
	}
	next := old
	next.Name = versionNew
	next.State = manifest.RollingIn
	next.Share = roll.share
	next.Exposure = roll.exposure
	old.Share -= roll.share
	return []manifest.Version{old, next}
}

func accountEntry(i int, classNames []string) manifest.Account {
	sum := sha256.Sum256([]byte(accountKey(i)))
	return manifest.Account{
		Name:      fmt.Sprint("account-", i),
		KeySHA256: []string{hex.EncodeToString(sum[:])},
		Models:    []manifest.Permission{{Model: modelSmall}, {Model: modelLarge}},
		Cascades:  []string{cascadeAsk},
		Services:  []string{serviceDesk},
		Classes:   classNames,
		Weight:    1,
	}
}

func accountKey(i int) string { return fmt.Sprint("key-of-account-", i) }
