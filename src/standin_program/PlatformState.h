#pragma once

#include "base/Time.h"

#include <absl/status/status.h>
#include <chrono>
#include <deque>
#include <json/value.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace parsleypaddle {

/// What the platform stand-in answers to one request.
struct PlatformStandinAnswer {
    int status { 200 };
    std::string etag;
    std::string body;
    /// The connection is closed without an answer.
    bool isSilent { false };
    /// How long the answer is held back.
    Milliseconds delay;
};

/// What the platform stand-in is asked.
struct PlatformStandinRequest {
    std::string method;
    std::string path;
    std::string body;
    std::string ifMatch;
    std::string ifNoneMatch;
};

/// The rows, objects, instance list and faults of the platform stand-in. Safe to use from several threads.
class PlatformState {
public:
    PlatformStandinAnswer answer(const PlatformStandinRequest&);

private:
    struct Row {
        std::string value;
        std::string etag;
    };

    struct DatedList {
        std::chrono::steady_clock::time_point at;
        std::string json;
    };

    PlatformStandinAnswer answerService(const PlatformStandinRequest&);
    PlatformStandinAnswer answerRow(const std::string& key, const PlatformStandinRequest&);
    PlatformStandinAnswer answerObject(const std::string& name, const PlatformStandinRequest&);
    PlatformStandinAnswer answerList(const std::string& known) const;
    PlatformStandinAnswer setList(const std::string& json);
    PlatformStandinAnswer setFaults(const std::string& json);
    PlatformStandinAnswer counts() const;

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::deque<DatedList> m_lists;
    uint64_t m_lastEtag { 0 };
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
    bool m_isDown { false };
    uint64_t m_answersToLose { 0 };
    uint64_t m_rowAnswersToLose { 0 };
    Milliseconds m_delay;
    Milliseconds m_listLag;
};

}
