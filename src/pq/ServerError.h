#pragma once

#include "pq/PqHandle.h"

#include <absl/status/status.h>

namespace parsleypaddle {

/// Whether the error means that the ledger had the write already.
bool isRanBefore(const PGresult*);

/// Whether the server ended the connection with the error, or libpq lost it.
bool endsConnection(const PGresult*);

/// The error of a statement: its result code by SQLSTATE, StatementFailed for any that is not ours, and the server's message.
absl::Status errorOf(const PGresult*);

}
