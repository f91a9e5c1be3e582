#pragma once

#include "control/ControlTypes.h"

#include <map>
#include <memory>
#include <vector>

namespace parsleypaddle {

/// Serves control methods over JSON-RPC to peers and operators' tools that show an accepted key.
class ControlServer {
public:
    /// Listens at `host`, an IP number; port 0 picks a free one. Handlers run on the server's own threads.
    /// Returns nullptr and tells why in `error`.
    static std::unique_ptr<ControlServer> create(const std::string& host, uint16_t port, std::vector<std::string> keys,
        std::map<std::string, ControlHandler>, std::string& error);

    /// Waits for calls under way.
    ~ControlServer();

    uint16_t port() const;

    /// Calls refused for an absent or wrong key.
    uint64_t refusedKeys() const;

private:
    ControlServer();

    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
