// Package placement selects the model engine for a prompt by the expected time to the first
// event of the answer.
//
// An engine prefills one prompt at a time, in order of priority, and caches the result while
// it has memory. The time to the first event is therefore the sum of the queued work, the
// prefill of the parts that aren't cached, and the network latency, which makes load, cache
// affinity and availability zones comparable. Engines report neither their prefill speed nor
// the contents of their caches: PrefillEstimator estimates the speed from the times to the
// first event of earlier answers, and CacheTracker tracks the prompts that were sent to each
// engine.
//
// The selection handles these load patterns:
//   - Prompts share long parts: each part is prefilled on few engines, which leaves the
//     capacity of the others for new parts.
//   - One part is popular: its requests move to further engines as soon as the queue of the
//     first engine costs more than another prefill.
//   - Long prompts are mixed with short ones: work is measured in time, not in requests.
//   - A crash or a roll-out leaves engines with empty caches: RemoveEngine removes the prefixes
//     tracked for them, and the parts are prefilled again on few engines each.
//   - Several hosts choose at the same moment: they rank the engines for a part by the same
//     hash and agree without communication.
//
// The package doesn't read clocks, settings or connections. PrefillEstimator is safe for
// concurrent use; all other types are not.
package placement
