#pragma once

#include "configuration/ConfigurationStore.h"

namespace parsleypaddle {

/// Commits one operator's change to the platform: reads the root row, puts the body as an object and replaces the row
/// by a conditional write. Repeats the write when its answer is lost, until the outcome is known or a timeout expires.
class ChangeSubmission : public std::enable_shared_from_this<ChangeSubmission> {
public:
    static void start(ConfigurationStore&, ConfigurationVersion base, const std::string& document, const std::string& author, ConfigurationStore::ApplyDone);

private:
    ChangeSubmission(ConfigurationStore&, ConfigurationVersion base, const std::string& author, ConfigurationStore::ApplyDone);

    void readRow();
    void onRowRead(const std::optional<TableRow>&);
    /// Adopts the row's version when it is newer than the one in force, then calls `next`. The change is compared with
    /// the version in force, so that version has to be up to date.
    void adoptRow(const ConfigurationRoot&, std::function<void()> next);
    void prepareBody();
    void putBody();
    void writeRow();
    void onRowWritten(const absl::StatusOr<TableRow>&);
    void readRowAfterConflict();
    void retryWriteLater();
    void resolveConflict(const ConfigurationRoot&);
    void finishAccepted();
    void rejectWithConflict();
    void finish(absl::StatusOr<ConfigurationVersion>);
    bool isFinished() const { return m_alive.expired() || !m_done; }

    ConfigurationStore& m_store;
    std::weak_ptr<bool> m_alive;
    ConfigurationVersion m_base;
    std::string m_author;
    ConfigurationStore::ApplyDone m_done;
    Configuration m_proposed;
    ConfigurationRoot m_root;
    std::string m_encodedBody;
    std::string m_expectedEtag;
    Instant m_writeRetryDeadline;
    /// The answer to a row write was lost, so a later conflict may stem from this submission's own write.
    bool m_isInDoubt { false };
};

}
