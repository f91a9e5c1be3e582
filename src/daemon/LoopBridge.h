#pragma once

#include "control/ControlTypes.h"
#include "net/PollLoop.h"

#include <functional>

namespace parsleypaddle {

/// A control method that runs on the loop's thread and answers now or later.
using LoopHandler = std::function<void(const std::string& parametersJson, std::function<void(ControlResult)> answer)>;

/// Makes a control handler of it: the server's thread waits for the answer, at most `limit`.
ControlHandler bridgeToLoop(PollLoop&, LoopHandler, Milliseconds limit);

}
