#pragma once

#include <absl/status/status.h>
#include <string_view>

namespace parsleypaddle {

/// Creates a PlatformUnavailable error for a call that was not carried out and will not be: no byte of its request was written, or the
/// platform has answered that it did not accept it.
absl::Status makeUnexecutedCallError(std::string_view message);

/// Whether makeUnexecutedCallError() created the error. Any other error of a call leaves open whether and when it is carried out.
bool isUnexecutedCall(const absl::Status&);

}
