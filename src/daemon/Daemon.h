#pragma once

#include "daemon/DaemonSettings.h"

#include <memory>

namespace parsleypaddle {

/// One running daemon: the decisions of a Node joined to sockets, the platform and the operators.
class Daemon {
public:
    /// Opens the listeners. ValueOutOfRange for an address that cannot be used.
    static absl::StatusOr<std::unique_ptr<Daemon>> create(const DaemonSettings&, const DaemonKeys&);
    ~Daemon();

    /// Serves until it has drained after SIGTERM, SIGINT or an operator's order.
    void run();

private:
    Daemon();

    class Parts;
    std::unique_ptr<Parts> m_parts;
};

}
