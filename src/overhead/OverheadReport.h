#pragma once

#include "overhead/IdleMemory.h"
#include "overhead/LoadRun.h"

#include <iosfwd>
#include <optional>

namespace parsleypaddle {

/// The same load straight to the target and through the daemon.
struct OverheadRow {
    size_t connections { 0 };
    LoadResult direct;
    LoadResult daemon;
};

/// Everything that one run measured.
struct OverheadReport {
    std::vector<OverheadRow> rows;
    std::optional<IdleMemory> memory;
};

void printTable(std::ostream&, const OverheadReport&);
void printJson(std::ostream&, const OverheadReport&);

}
