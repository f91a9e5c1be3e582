#pragma once

#include <libpq-fe.h>
#include <memory>

namespace parsleypaddle {

struct PqFinish {
    void operator()(PGconn* connection) const { PQfinish(connection); }
    void operator()(PGresult* result) const { PQclear(result); }
};

/// A connection of libpq, closed at the end of its scope.
using PqHandle = std::unique_ptr<PGconn, PqFinish>;
/// A result of libpq, freed at the end of its scope.
using PqResult = std::unique_ptr<PGresult, PqFinish>;

}
