#pragma once

#include "net/TcpListener.h"
#include "wire/Message.h"
#include "wire/RandomTexts.h"
#include "wire/load/Ledger.h"

#include <memory>
#include <unordered_map>

namespace parsleypaddle::wire {

/// What the back ends of one group have in common.
struct Group {
    PollLoop& loop;
    Ledger& ledger;
    RandomTexts texts;
    std::string service;
    /// Every so many answers are sent again later; 0 for none.
    size_t secondAnswerEvery { 0 };
    /// Of one back end.
    size_t maxConnections { 34 };
    uint64_t term { 1 };
    /// The number of the latest commit.
    uint64_t number { 0 };
    uint64_t lastSignature { 0 };
    uint64_t answers { 0 };
    uint64_t secondAnswers { 0 };
};

/// A back end that speaks the protocol through the codec of the tests. Records in the ledger each statement that it runs.
class BackEnd {
public:
    static absl::StatusOr<std::unique_ptr<BackEnd>> create(Group&, const std::string& id, bool isPrimary, uint16_t port);
    ~BackEnd();

private:
    struct Connection;
    struct Reply;

    BackEnd(Group&, std::string id, bool isPrimary);

    void accept(std::shared_ptr<TcpStream>);
    void receive(const std::shared_ptr<Connection>&, std::string_view);
    void processNext(const std::shared_ptr<Connection>&);
    void send(const std::shared_ptr<Connection>&, const std::string& bytes);
    void sendAgain(const std::shared_ptr<Connection>&, const std::string& bytes);
    void close(Connection&);

    Reply greet(Connection&, const Message&) const;
    Reply run(Connection&, const std::string& id, const std::string& text);
    Reply runChecked(Connection&, const std::string& id, const Statement&);
    Reply begin(Connection&, const Statement&) const;
    Reply read(Connection&, const std::string& id, const Statement&);
    Reply write(Connection&, const std::string& id);
    Reply end(Connection&, const std::string& id, bool isCommit);
    Reply signedReply(const std::string& id, std::vector<std::string> rows);
    Reply status(bool isBusy) const;
    std::string encode(const Connection&, const Reply&) const;
    bool isLagging(const std::string& after) const;
    std::vector<std::string> drawRows();

    Group& m_group;
    std::string m_id;
    bool m_isPrimary;
    std::unordered_map<TcpStream*, std::shared_ptr<Connection>> m_connections;
    std::unique_ptr<TcpListener> m_listener;
};

}
