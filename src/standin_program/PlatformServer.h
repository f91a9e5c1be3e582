#pragma once

#include "standin_program/PlatformState.h"

#include <absl/status/statusor.h>
#include <memory>

namespace parsleypaddle {

/// Serves the stand-in of the platform over HTTP on loopback, on threads of its own.
class PlatformServer {
public:
    /// Listens on `port`; 0 takes a free one. TargetUnreachable when it is taken.
    static absl::StatusOr<std::unique_ptr<PlatformServer>> create(uint16_t port);
    ~PlatformServer();

    uint16_t port() const;
    PlatformState& state();

private:
    class Internals;

    explicit PlatformServer(std::unique_ptr<Internals>);

    std::unique_ptr<Internals> m_internals;
};

}
