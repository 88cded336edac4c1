// What a stand-in really ran, as JSON lines: the ground truth that histories are checked against.

#pragma once

#include <cstdint>
#include <fstream>
#include <string>

#include <nlohmann/json.hpp>

namespace ramphinge {

// Not thread-safe. Each line is flushed, so that a killed process loses none.
class ExecutionLog
{
public:
    // An empty path keeps no log.
    explicit ExecutionLog(const std::string &path)
    {
        if (!path.empty())
            m_file.open(path, std::ios::app);
    }

    void write(nlohmann::json line)
    {
        if (!m_file.is_open())
            return;
        line["at_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
        m_file << line.dump() << '\n' << std::flush;
    }

private:
    std::ofstream m_file;
};

} // namespace ramphinge
