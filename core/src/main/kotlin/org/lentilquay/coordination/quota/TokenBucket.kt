/*
 * The token bucket of one team on one VM. Rate and capacity are proportional to the quota seats of the team that the VM
 * holds; a seat is one of the equal shares of the team's bucket. The unit of account is 1/(1000 x seat count) of a
 * token: one seat then generates exactly `tokensPerSecond` units in a millisecond, so all arithmetic is in integers and
 * rounding creates no tokens. Times are monotonic milliseconds. Single-threaded use.
 *
 * Three rules keep the tokens of all VMs together within the burst:
 * - Transferred tokens count against the sender's capacity until no receiver can use them any more (a hold): for a
 *   fixed time, or until the receiver reports that it has used some of them and gives up the others.
 * - Received tokens are usable above the capacity, and only while the sender holds them. What is left after that is
 *   added to the balance as far as the capacity allows.
 * - A new seat neither generates tokens nor raises the capacity until the tokens that its last holder transferred have
 *   expired.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.Team

/** How long after the transfer request its tokens are accepted and usable above the capacity. */
const val TOKEN_VALIDITY_MILLIS: Long = 500

/**
 * How long the sender holds transferred tokens, and how long a new seat is idle. The 10 ms above the validity cover the
 * rounding of both clocks to milliseconds and a clock drift of 1 %.
 */
const val TOKEN_HOLD_MILLIS: Long = TOKEN_VALIDITY_MILLIS + 10

/** The largest rate and burst, in tokens, for which the arithmetic fits in 64 bits. */
internal const val MAXIMUM_TOKENS: Long = 1_000_000_000_000

private const val MILLIS_PER_SECOND = 1_000L

internal class TokenBucket(team: Team, private val seatCount: Int, private var advancedTo: Long) {
    /** An amount in units that takes effect or expires at [atMillis]. */
    private class TimedAmount(val atMillis: Long, var amount: Long, val transfer: ReceivedTransfer? = null)

    private class Hold(val atMillis: Long, val amount: Long, val transfer: String?)

    var team: Team = team
        private set
    private val unitsPerToken = MILLIS_PER_SECOND * seatCount
    private val activeSeats = HashSet<Int>()
    private val idleSeats = HashMap<Int, Long>()
    private var balance = 0L
    private var held = 0L
    private val holds = ArrayDeque<Hold>()
    private val receivedAmounts = ArrayList<TimedAmount>()
    private val charges = LinkedHashMap<Long, Long>()
    private val history = HeadroomHistory()
    private var sequence = Long.MIN_VALUE

    private val rate get() = team.tokensPerSecond.coerceIn(0, MAXIMUM_TOKENS)
    private val capacity get() = team.burstTokens.coerceIn(0, MAXIMUM_TOKENS) * MILLIS_PER_SECOND * activeSeats.size
    private val headroom get() = capacity - held - balance

    /** Whole tokens that requests of this VM can use; negative while a debt is open. */
    val availableTokens: Long get() = Math.floorDiv(balance + receivedAmounts.sumOf { it.amount }, unitsPerToken)

    /** Whole tokens that could be transferred now. */
    val transferableTokens: Long get() = (balance / unitsPerToken).coerceAtLeast(0)

    /** Whole tokens that a full bucket could transfer; 0 while all seats of this VM are idle. */
    val maximumTransferableTokens: Long get() = capacity / unitsPerToken

    /** Whether seats that were taken are still idle. */
    val hasIdleSeats: Boolean get() = idleSeats.isNotEmpty()

    /** How long the seats of this VM need to generate [tokens], in milliseconds. */
    fun generationMillis(tokens: Long): Long {
        val perMillisecond = rate * activeSeats.size
        if (perMillisecond == 0L) return Long.MAX_VALUE
        return (tokens * unitsPerToken + perMillisecond - 1) / perMillisecond
    }

    /** Generates tokens up to [now]. Holds, received tokens and idle times of seats end at their own times. */
    fun advance(now: Long) {
        while (advancedTo < now) {
            val next = nextEventMillis()
            val end = minOf(next, now)
            generate(end - advancedTo)
            advancedTo = end
            recordHeadroom()
            if (next <= now) applyEvents()
        }
    }

    /** Applies the rate and burst of [changed]. A lower burst cuts the balance at once, a higher one adds no tokens. */
    fun configure(changed: Team) {
        team = changed
        clamp()
    }

    /**
     * Adds [seat], idle until the tokens expire that its last holder transferred, at [lastTransferAt] at the latest.
     */
    fun addSeat(seat: Int, lastTransferAt: Long) {
        idleSeats[seat] = maxOf(lastTransferAt + TOKEN_HOLD_MILLIS, advancedTo)
    }

    /** Removes [seat], with its share of a positive balance if it was active. A debt stays. */
    fun removeSeat(seat: Int) {
        idleSeats.remove(seat)
        val before = activeSeats.size
        if (!activeSeats.remove(seat)) return
        if (balance > 0) balance = balance / before * (before - 1)
        clamp()
    }

    /** Charges [tokens], which must be available, as charge [number]; the numbers of charges increase. */
    fun charge(tokens: Long, number: Long) {
        spend(tokens * unitsPerToken)
        sequence = number
        charges[number] = tokens
        recordHeadroom()
    }

    /** Settles the charge [number] against the [actual] use in tokens. A charge is settled once. */
    fun settle(number: Long, actual: Long) {
        val charged = charges[number] ?: return
        val refund = (charged - actual) * unitsPerToken
        if (refund < 0) {
            balance += refund
        } else {
            val room = minOf(history.lowestSince(number) ?: headroom, headroom).coerceAtLeast(0)
            val credit = minOf(refund, room)
            balance += credit
            history.refunded(number, credit)
        }
        charges.remove(number)
        history.dropBefore(charges.keys.firstOrNull() ?: Long.MAX_VALUE)
        recordHeadroom()
    }

    /** Deducts [tokens] that are transferred to a peer at [now] as [transfer]; they must be transferable. */
    fun transferOut(tokens: Long, now: Long, transfer: String? = null) {
        val amount = tokens * unitsPerToken
        if (amount == 0L) return
        balance -= amount
        held += amount
        holds.addLast(Hold(now + TOKEN_HOLD_MILLIS, amount, transfer))
    }

    /**
     * Ends the hold of [transfer], whose receiver has used its tokens except [returned]. These are added to the balance
     * as far as the capacity allows. A hold that has expired is not ended again, and its tokens do not come back.
     */
    fun endHold(transfer: String, returned: Long) {
        val hold = holds.firstOrNull { it.transfer == transfer } ?: return
        holds.remove(hold)
        held -= hold.amount
        val amount = (returned.coerceIn(0, MAXIMUM_TOKENS) * unitsPerToken).coerceAtMost(hold.amount)
        balance += minOf(amount, headroom.coerceAtLeast(0))
        recordHeadroom()
    }

    /**
     * Adds [tokens] that a peer transferred on a request sent at [requestedAt]. An open debt is paid first. The tokens
     * of a [transfer] can be given up before they expire.
     */
    fun receive(tokens: Long, requestedAt: Long, transfer: ReceivedTransfer? = null) {
        var amount = tokens * unitsPerToken
        if (balance < 0) {
            val paid = minOf(amount, -balance)
            balance += paid
            amount -= paid
            recordHeadroom()
        }
        if (amount > 0 || transfer != null) {
            receivedAmounts.add(TimedAmount(requestedAt + TOKEN_VALIDITY_MILLIS + 1, amount, transfer))
        }
    }

    /**
     * Removes the received amounts of transfers that are used up, or all of them if no request waits for their tokens,
     * and returns the whole tokens that were left of each.
     */
    fun endTransfers(isAnyWaiting: Boolean): Map<ReceivedTransfer, Long> {
        val ended = receivedAmounts.filter { it.transfer != null && (it.amount == 0L || !isAnyWaiting) }
        receivedAmounts.removeAll(ended.toSet())
        return ended.associate { checkNotNull(it.transfer) to it.amount / unitsPerToken }
    }

    /** Adds [tokens] that requests of this VM can use before [until]. They do not pay an open debt. */
    fun addInitialTokens(tokens: Long, until: Long) {
        if (tokens > 0) receivedAmounts.add(TimedAmount(until, tokens * unitsPerToken))
    }

    private fun nextEventMillis(): Long = minOf(
        holds.firstOrNull()?.atMillis ?: Long.MAX_VALUE,
        receivedAmounts.minOfOrNull { it.atMillis } ?: Long.MAX_VALUE,
        idleSeats.values.minOrNull() ?: Long.MAX_VALUE,
    )

    private fun applyEvents() {
        while (holds.isNotEmpty() && holds.first().atMillis <= advancedTo) held -= holds.removeFirst().amount
        val activated = idleSeats.filterValues { it <= advancedTo }.keys
        activeSeats += activated
        idleSeats -= activated
        val expired = receivedAmounts.filter { it.atMillis <= advancedTo }
        receivedAmounts.removeAll(expired.toSet())
        balance += minOf(expired.sumOf { it.amount }, headroom.coerceAtLeast(0))
    }

    private fun generate(elapsed: Long) {
        val perMillisecond = rate * activeSeats.size
        val room = headroom
        if (room <= 0 || perMillisecond == 0L || elapsed <= 0) return
        val fillMillis = (room + perMillisecond - 1) / perMillisecond
        balance += if (elapsed >= fillMillis) room else perMillisecond * elapsed
    }

    private fun spend(amount: Long) {
        var rest = amount
        receivedAmounts.sortBy { it.atMillis }
        for (received in receivedAmounts) {
            val part = minOf(rest, received.amount)
            received.amount -= part
            rest -= part
        }
        receivedAmounts.removeAll { it.amount == 0L && it.transfer == null }
        balance -= rest
    }

    private fun clamp() {
        val limit = (capacity - held).coerceAtLeast(0)
        if (balance > limit) balance = limit
        recordHeadroom()
    }

    private fun recordHeadroom() {
        if (charges.isNotEmpty()) history.record(sequence, headroom)
    }
}
