#pragma once

#include "base/ResultCode.h"

namespace parsleypaddle {

/// The HTTP status sent with a result code. It is meant for generic HTTP clients; the result code is authoritative.
unsigned httpStatusOf(ResultCode);

}
