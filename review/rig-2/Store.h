#pragma once

#include "Net.h"

#include <condition_variable>
#include <functional>
#include <json/json.h>
#include <map>
#include <mutex>
#include <vector>

namespace rig {

std::string base64(const std::string& bytes);
std::string unbase64(const std::string& text);

/// The platform's store of rows and its promotion call, over HTTP. Linearizable; loses nothing that it has acknowledged.
class Store {
public:
    /// Carries out POST /promotion: service, id, holder, fence. Returns the status.
    using Promote = std::function<int(const std::string& service, const std::string& id, const std::string& holder, const std::string& fence)>;

    Store(const std::string& host, uint16_t port, Promote);

    bool isOpen() const { return m_listener.isOpen(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void drop(const std::string& table, const std::string& key);
    std::string get(const std::string& table, const std::string& key);

private:
    using Key = std::pair<std::string, std::string>;
    struct Row {
        std::string value;
        uint64_t version { 0 };
        bool isDeleted { false };
    };
    struct Answer {
        int status;
        std::string body;
    };

    void serve(const std::shared_ptr<Stream>&);
    Answer handle(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body);
    Answer transact(const std::string& body);
    Answer read(std::map<std::string, std::string> query);
    Answer feed(std::map<std::string, std::string> query);
    Answer rowsAnswer(int status, Json::Value rows, bool hasMore) const;
    static Json::Value encode(const Key&, const Row&);

    Promote m_promote;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    uint64_t m_version { 0 };
    Listener m_listener;
};

}
