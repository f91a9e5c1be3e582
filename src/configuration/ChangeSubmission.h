#pragma once

#include "configuration/ConfigurationStore.h"

namespace parsleypaddle {

/// One operator's change on its way into the platform's table: read the row, put the body as an object, write the row
/// if it is still the one that was read, and settle an answer that was lost.
class ChangeSubmission : public std::enable_shared_from_this<ChangeSubmission> {
public:
    static void start(ConfigurationStore&, ConfigurationVersion base, const std::string& document, const std::string& author, ConfigurationStore::Applied);

private:
    ChangeSubmission(ConfigurationStore&, ConfigurationVersion base, const std::string& author, ConfigurationStore::Applied);

    void readRow();
    void haveRow(const std::optional<TableRow>&);
    /// Calls `next` once the version of the row is in force here, so that both sides of the change are known.
    void catchUp(const ConfigurationRoot&, std::function<void()> next);
    void compose();
    void putBody();
    void writeRow();
    void haveWritten(const absl::StatusOr<TableRow>&);
    void settle();
    void settleLater();
    void haveSettled(const ConfigurationRoot&);
    void succeed();
    void refuseConflict();
    void finish(absl::StatusOr<ConfigurationVersion>);
    bool isOver() const { return m_alive.expired() || !m_done; }

    ConfigurationStore& m_store;
    std::weak_ptr<bool> m_alive;
    ConfigurationVersion m_base;
    std::string m_author;
    ConfigurationStore::Applied m_done;
    Configuration m_wanted;
    ConfigurationRoot m_root;
    std::string m_encoded;
    std::string m_expectedEtag;
    Instant m_settleDeadline;
    /// A write of the row was sent and its answer lost, so that a conflict may be with ourselves.
    bool m_isInDoubt { false };
};

}
