#pragma once

#include "control/ControlTypes.h"

namespace parsleypaddle {

/// Calls control methods of daemons over JSON-RPC. Blocks, so call it off the loop; safe on any thread.
class ControlClient {
public:
    /// `parametersJson` is a JSON object. Codes of its own: 2208 when the call was not delivered, 3005 when it may have
    /// been but no answer came within `timeoutMilliseconds`, 2001 when a message was not JSON.
    static ControlResult call(const ControlAddress&, const std::string& key, const std::string& method,
        const std::string& parametersJson, double timeoutMilliseconds);
};

}
