#pragma once

#include "base/Time.h"
#include "control/ControlTypes.h"
#include "net/PollLoop.h"
#include "operations/Operations.h"

#include <map>

namespace parsleypaddle {

/// The operations as handlers of the control server: each call is carried over to the loop's thread, and its caller
/// waits there. OutcomeUnknown when no answer came within `timeout`.
/// Loop and operations must outlive the control server.
std::map<std::string, ControlHandler> controlHandlersOf(PollLoop&, Operations&, Milliseconds timeout);

}
