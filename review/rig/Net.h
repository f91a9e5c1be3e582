#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rig {

/// Milliseconds on the steady clock.
double now();
void sleepFor(double milliseconds);
/// Appends a line with the time since the start to the record. Thread-safe.
void record(const std::string& line);
void writeRecord(const std::string& path);

/// A blocking TCP connection that reads lines.
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> connect(const std::string& host, int port, double timeout);

    bool send(const std::string& bytes);
    /// The next line without its end; nullopt if the connection has ended or nothing has arrived for `timeout` milliseconds.
    std::optional<std::string> readLine(double timeout);
    std::optional<std::string> readBytes(size_t count, double timeout);
    bool isTimedOut() const { return m_isTimedOut; }
    /// Whether the other end has reset the connection. Bytes that were not delivered then are lost.
    bool isReset() const;
    /// Ends reads and writes from another thread.
    void shutDown();

private:
    bool fill(double timeout);

    int m_descriptor;
    bool m_isTimedOut { false };
    std::string m_input;
};

/// Accepts connections on its own thread and serves each on a thread.
void listenOn(const std::string& host, int port, std::function<void(std::shared_ptr<Connection>)> serve);

}
