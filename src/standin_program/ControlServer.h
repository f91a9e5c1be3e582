#pragma once

#include "net/PollLoop.h"

#include <json/value.h>
#include <memory>
#include <string>

namespace parsleypaddle {

/// Answers a stand-in's control requests over HTTP on loopback: POST /fault and GET /state, with JSON bodies.
class ControlServer {
public:
    using SwitchFault = std::function<absl::Status(const Json::Value&)>;
    using State = std::function<Json::Value()>;

    /// Listens on `port`; 0 takes a free one. Both functions are called on the loop's thread.
    static absl::StatusOr<std::unique_ptr<ControlServer>> create(PollLoop&, uint16_t port, SwitchFault, State);
    ~ControlServer();

    uint16_t port() const;

private:
    class Internals;

    explicit ControlServer(std::unique_ptr<Internals>);

    std::unique_ptr<Internals> m_internals;
};

}
