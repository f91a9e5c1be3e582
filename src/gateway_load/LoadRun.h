#pragma once

#include "gateway/Gateway.h"

#include <cstdint>
#include <string>

namespace parsleypaddle {

/// What a load run does.
struct LoadPlan {
    unsigned connections { 32 };
    unsigned requestsEach { 2000 };
    /// Bytes of the one parameter of each request, which the answer returns.
    size_t parameterBytes { 16 };
};

/// What a run measured of a gateway alone, whose handler answers at the loop's next turn.
struct LoadResult {
    uint64_t requests { 0 };
    /// Requests without the right answer.
    uint64_t failed { 0 };
    Milliseconds took;
    /// Processor time of the gateway's thread.
    Milliseconds processorTime;
    /// Processor time of the peer's thread, of forwarded requests.
    Milliseconds peerProcessorTime;
};

/// What idle connections cost.
struct IdleResult {
    unsigned connections { 0 };
    /// Resident memory of the process before and after them; the callers' side is in it.
    uint64_t residentBytesBefore { 0 };
    uint64_t residentBytesAfter { 0 };
};

/// Callers on threads of their own, one connection each, sending one request after the other.
absl::StatusOr<LoadResult> runLoad(const LoadPlan&);

/// The same, but the gateway's daemon forwards each request to a peer, which answers at its loop's next turn.
absl::StatusOr<LoadResult> runForwarded(const LoadPlan&);

/// Opens connections, has each answered once, and leaves them idle.
absl::StatusOr<IdleResult> runIdle(unsigned connections);

/// Serves at `port` until the process ends; the answer returns the request's parameters.
absl::Status serve(uint16_t port);

}
