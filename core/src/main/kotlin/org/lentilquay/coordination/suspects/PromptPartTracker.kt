/*
 * Tracks which parts of prompts crash backend servers. Each VM keeps the crashes that it saw itself or that were
 * reported to it by notices, which may arrive repeatedly and in any order, and for each part the time of the latest
 * attempt that was answered. A crash counts against a part only if no request with it was sent later and answered.
 * Single-threaded use; times are monotonic milliseconds of this VM. Docs: docs/platform.md, section 5.
 */
package org.lentilquay.coordination.suspects

import org.lentilquay.state.ServerId

/** Bounds memory and the time of one evaluation to a few milliseconds; the latest crashes are kept. */
private const val MAXIMUM_CRASHES = 64
private const val MAXIMUM_PARTS = 5_000

/** Bounds the memory for the times of parts to about 1 MB. */
private const val MAXIMUM_TIMED_PARTS = 4_096

private const val INITIAL_CAPACITY = 64
private const val LOAD_FACTOR = 0.75f

/** Other VMs are told that a part is clear only from this number of crashes on; one crash blocks no part. */
private const val ANNOUNCED_CRASHES = 2

/** Evaluations while nothing changed are at least this far apart; a quarantine is later by no more. */
private const val EVALUATION_INTERVAL_MILLIS = 50L

/**
 * A quarantine that differs by less is not adopted again. Processes convert times with errors of a few seconds, which
 * would add up while they adopt a quarantine from each other, and it would never end.
 */
private const val ADOPTION_TOLERANCE_MILLIS = 60_000L

/** Bounds the size of member records; the latest quarantines are kept. */
private const val MAXIMUM_ADOPTED = 16

/**
 * Requests with all of [parts] are refused; they explain [crashes] crashes, the last one [latestCrashAt]. The [servers]
 * are not known if the quarantine was adopted from another process.
 */
data class PartQuarantine(
    val parts: Set<String>,
    val crashes: Int,
    val servers: Set<ServerId>,
    val latestCrashAt: Long,
    /** An answer to a request that was sent later clears its part, because too few crashes are later still. */
    val decisiveCrashAt: Long = latestCrashAt,
) {
    fun remainingMillis(now: Long): Long = latestCrashAt + QUARANTINE_MILLIS - now
}

class PromptPartTracker {
    private data class CrashId(val server: ServerId, val incarnation: Long)

    /** [at] is the earliest time that a notice gave. */
    private class Crash(var at: Long) {
        val requests = LinkedHashSet<Set<String>>()
    }

    /** A time by part; the parts used last are kept. */
    private class PartTimes : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>) = size > MAXIMUM_TIMED_PARTS
    }

    // In order of arrival, so that the oldest is the first.
    private val crashes = LinkedHashMap<CrashId, Crash>()

    /** The sending time of the latest attempt that was answered. */
    private val answered = PartTimes()

    /** The time up to which other VMs were told, or told this one, that a part is clear. */
    private val announced = PartTimes()
    private var evaluated: List<PartQuarantine> = emptyList()
    private var evaluatedAt: Long? = null

    /** Quarantines that other processes decided, by their parts. */
    private val adopted = HashMap<Set<String>, PartQuarantine>()

    /** The decisive crash of each part that is or was quarantined. */
    private val decisive = PartTimes()

    /** Whether any crash or quarantine is kept. */
    val hasEvidence: Boolean get() = crashes.isNotEmpty() || adopted.isNotEmpty()

    /** Quarantined parts that have been cleared, each with the sending time of the answered request. */
    val cleared: Map<String, Long> get() = decisive.entries.mapNotNull { (part, crashAt) ->
        answered[part]?.takeIf { it > crashAt }?.let { part to it }
    }.toMap()

    /** Adopts a quarantine that another process has decided, unless this VM knows that its parts are clear. */
    fun adopt(quarantine: PartQuarantine, now: Long) {
        val before = adopted[quarantine.parts]
        if (before == null || quarantine.latestCrashAt - before.latestCrashAt > ADOPTION_TOLERANCE_MILLIS) {
            adopted[quarantine.parts] = quarantine
        }
        expire(now)
        while (adopted.size > MAXIMUM_ADOPTED) adopted.remove(adopted.values.minBy { it.latestCrashAt }.parts)
    }

    /** Merges a crash of [server] at [at], in which requests with the parts in [requests] were lost. */
    fun merge(server: ServerId, incarnation: Long, at: Long, requests: List<Set<String>>) {
        val known = requests.filter { it.isNotEmpty() }
        if (known.isEmpty()) return
        val crash = crashes.getOrPut(CrashId(server, incarnation)) { Crash(at) }
        crash.at = minOf(crash.at, at)
        crash.requests += known
        while (isTooLarge() && crashes.size > 1) crashes.remove(crashes.keys.first())
        evaluatedAt = null
    }

    private fun isTooLarge() = crashes.size > MAXIMUM_CRASHES ||
        crashes.values.sumOf { crash -> crash.requests.sumOf { it.size } } > MAXIMUM_PARTS

    /** A request with [parts] that was sent at [sentAt] was answered, so it did not crash its server. */
    fun answered(parts: Set<String>, sentAt: Long) = parts.forEach { part ->
        if (sentAt > (answered[part] ?: Long.MIN_VALUE)) {
            answered[part] = sentAt
            evaluatedAt = null
        }
    }

    /** Another VM has had answers to requests with these parts, which were sent at the given times. */
    fun clearedElsewhere(sentAtByPart: Map<String, Long>) = sentAtByPart.forEach { (part, sentAt) ->
        answered(setOf(part), sentAt)
        announced[part] = maxOf(sentAt, announced[part] ?: Long.MIN_VALUE)
    }

    /**
     * The parts that are suspect to VMs that know the same crashes, but not what this VM has seen answered since, each
     * with the sending time of that attempt. Each is returned once.
     */
    fun takeUnannounced(now: Long): Map<String, Long> {
        expire(now)
        val parts = crashes.values.flatMapTo(HashSet()) { crash -> crash.requests.flatten() }
        return parts.mapNotNull { part ->
            val sentAt = answered[part] ?: return@mapNotNull null
            val times = crashTimes(part).filter { it > (announced[part] ?: Long.MIN_VALUE) }
            val isNews = times.size >= ANNOUNCED_CRASHES && times.any { it < sentAt }
            (part to sentAt).takeIf { isNews }
        }.toMap().also { announced += it }
    }

    private fun crashTimes(part: String) =
        crashes.values.filter { crash -> crash.requests.any { part in it } }.map { it.at }

    /** The quarantine of a request with [parts], or null if it may run. */
    fun quarantine(parts: Set<String>, now: Long): PartQuarantine? =
        quarantines(now).filter { parts.containsAll(it.parts) }.maxByOrNull { it.latestCrashAt }

    /** All quarantines in force. */
    fun quarantines(now: Long): List<PartQuarantine> {
        expire(now)
        val last = evaluatedAt
        if (last == null || now - last >= EVALUATION_INTERVAL_MILLIS) {
            evaluated = evaluate(now)
            evaluatedAt = now
        }
        val remaining = adopted.values.map { it.copy(parts = unclearedParts(it)) }
        val all = (evaluated + remaining).distinctBy { it.parts }
        all.forEach { quarantine ->
            quarantine.parts.forEach { decisive.merge(it, quarantine.decisiveCrashAt, ::maxOf) }
        }
        return all
    }

    private fun unclearedParts(quarantine: PartQuarantine) =
        quarantine.parts.filterTo(LinkedHashSet()) { !isCleared(it, quarantine.decisiveCrashAt) }

    private fun evaluate(now: Long): List<PartQuarantine> {
        val uncleared = crashes.map { (id, crash) ->
            val requests = crash.requests.map { parts -> parts.filterTo(LinkedHashSet()) { !isCleared(it, crash.at) } }
            AttributedCrash(id.server, crash.at, requests.filter { it.isNotEmpty() })
        }
        return attributeCrashes(uncleared, evaluated.map { it.parts }, now).map {
            val decisive = it.crashes[it.crashes.size - QUARANTINE_PART_CRASHES]
            PartQuarantine(it.parts, it.crashes.size, it.servers, it.crashes.last().at, decisive.at)
        }
    }

    private fun isCleared(part: String, crashAt: Long) = crashAt < (answered[part] ?: Long.MIN_VALUE)

    private fun expire(now: Long) {
        if (crashes.values.removeIf { now - it.at >= QUARANTINE_MILLIS }) evaluatedAt = null
        adopted.values.removeIf { it.remainingMillis(now) <= 0 || unclearedParts(it).isEmpty() }
    }
}
