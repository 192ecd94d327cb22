#ifndef BUCKTHORNVALE_GATEWAY_ANSWER_MEMORY_HPP
#define BUCKTHORNVALE_GATEWAY_ANSWER_MEMORY_HPP

#include <cstddef>
#include <memory>
#include <utility>

namespace buckthornvale::gateway
{

//! Bounds the memory that large answers of runners take together. Runners that
//! fail can send bytes without end, many at a time; a bound on each answer
//! alone would let them fill a small VM.
class answer_memory
{
public:
    //! Bytes of each answer that are not counted, so that ordinary answers pass
    //! while large ones have taken all memory.
    static constexpr std::size_t uncounted_bytes = 16'384;

    explicit answer_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    //! The memory of one answer. Returns it when destroyed, which may be after
    //! the process that it belongs to.
    class reservation
    {
    public:
        explicit reservation(std::shared_ptr<answer_memory> memory)
            : memory_(std::move(memory))
        {
        }
        ~reservation() { resize(0); }
        reservation(reservation const&) = delete;
        reservation& operator=(reservation const&) = delete;

        //! Reserves memory for an answer of this size in place of the former
        //! one. Returns false, and changes nothing, if not so much is left.
        bool resize(std::size_t answer_bytes);

    private:
        std::shared_ptr<answer_memory> memory_;
        std::size_t bytes_ = 0;
    };

    //! Counted bytes of all answers.
    std::size_t reserved() const { return reserved_; }

private:
    std::size_t const max_bytes_;
    std::size_t reserved_ = 0;
};

} // namespace buckthornvale::gateway

#endif
