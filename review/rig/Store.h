#pragma once

#include "Net.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rig {

/// The platform's table store and its promotion call, over HTTP. Each daemon has an address of its own, so that the store can turn
/// single machines away.
class Store {
public:
    /// Called for a promotion: service, server id, holder, token. Returns the HTTP status.
    using Promote = std::function<int(const std::string& service, const std::string& id, const std::string& holder, uint64_t token)>;

    /// Called before a promotion's call by the machine is carried out. Returns false if the call never arrives.
    using Deliver = std::function<bool(const std::string& name, Connection&)>;

    explicit Store(Promote promote, Deliver deliver = nullptr)
        : m_promote(std::move(promote))
        , m_deliver(std::move(deliver))
    {
    }

    /// Serves the store for the machine `name`.
    void serve(const std::string& name, const std::string& host, int port);

    /// Turns a machine away: its calls get no response and are not carried out, and calls that wait for a change get none either.
    void setSilent(const std::string& name, bool);

    void put(const std::string& table, const std::string& key, const std::string& value);
    void drop(const std::string& table, const std::string& key);
    /// The decoded value; empty without such a row.
    std::string get(const std::string& table, const std::string& key);

private:
    struct Row {
        std::string encoded;
        uint64_t version { 0 };
        bool isDeleted { false };
    };
    struct Answer {
        int status { 200 };
        std::string body;
    };

    void handle(const std::string& name, Connection&);
    Answer process(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body);
    std::string rows(const std::string& table, uint64_t after, bool isFeed);
    bool hasChange(const std::string& table, uint64_t after) const;
    Answer transact(const std::string& body);
    bool isSilent(const std::string& name);

    Promote m_promote;
    Deliver m_deliver;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    uint64_t m_version { 1 };
    std::set<std::string> m_silent;
};

std::string encodeBase64(const std::string&);
std::string decodeBase64(const std::string&);

}
