#pragma once

#include "Net.h"

#include <cstdio>
#include <mutex>

namespace rig {

/// Writes what was sent, answered and run to record.txt, with the time in milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(nowMs())
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::fprintf(m_file, "%6lld %s\n", static_cast<long long>(nowMs() - m_start), line.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    int64_t m_start;
};

}
