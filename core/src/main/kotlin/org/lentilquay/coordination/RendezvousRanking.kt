/*
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every VM ranks the same candidates for a key in the same order
 * without communication, and adding or removing a candidate moves only the keys for which it ranks first.
 *
 * The hash is FNV-1a over the UTF-8 bytes of key and candidate, followed by the 64-bit finalizer of MurmurHash3,
 * because FNV-1a alone does not spread the last bytes well into the high bits, which decide the order. All VMs must
 * compute the same ranking, so the hash is part of the protocol between VMs and must not change within a protocol
 * version.
 */
package org.lentilquay.coordination

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_FIRST = -0xae502812aa7333L
private const val MIX_SECOND = -0x3b314601e57a13adL
private const val MIX_SHIFT = 33
private const val BYTE_MASK = 0xffL
private const val LAST_ASCII = 0x7f

/** A byte that does not occur in UTF-8, so that `("ab", "c")` and `("a", "bc")` have different hashes. */
private const val SEPARATOR: Byte = -1

/** Orders [candidates] for [key], best first. The order of the input does not matter; [name] must be unique. */
fun <T> rendezvousRanking(key: String, candidates: Collection<T>, name: (T) -> String): List<T> =
    scoresOf(key, candidates, name).sorted().map { it.candidate }

/** Orders the names [candidates] for [key], best first. */
fun rendezvousRanking(key: String, candidates: Collection<String>): List<String> =
    rendezvousRanking(key, candidates) { it }

/** The best of [candidates] for [key], or null if there are none; cheaper than a whole ranking. */
fun <T> rendezvousFirst(key: String, candidates: Collection<T>, name: (T) -> String): T? =
    scoresOf(key, candidates, name).minOrNull()?.candidate

/**
 * The number of [candidates] that come before [own] in the ranking for [key], or -1 if [own] is not among them; cheaper
 * than the ranking, because nothing is sorted.
 */
fun <T> rendezvousRank(key: String, candidates: Collection<T>, own: T, name: (T) -> String): Int {
    val scored = scoresOf(key, candidates, name)
    val ownScore = scored.firstOrNull { it.candidate == own } ?: return -1
    return scored.count { it < ownScore }
}

/** The 64-bit hash of [text] that the rankings use; stable across VMs. */
fun stableHash(text: String): Long = mix(fnv1a(FNV_OFFSET, text))

private class Scored<T>(val candidate: T, val name: String, val score: ULong) : Comparable<Scored<T>> {
    // Names break ties between equal scores, so that the order is total and the same on every VM.
    override fun compareTo(other: Scored<T>): Int =
        if (score == other.score) name.compareTo(other.name) else other.score.compareTo(score)
}

private fun <T> scoresOf(key: String, candidates: Collection<T>, name: (T) -> String): List<Scored<T>> {
    val prefix = fnv1a(fnv1a(FNV_OFFSET, key), byteArrayOf(SEPARATOR))
    return candidates.map { candidate ->
        val text = name(candidate)
        Scored(candidate, text, mix(fnv1a(prefix, text)).toULong())
    }
}

/** The hash over the UTF-8 bytes of [text], which are its characters unless one is outside of ASCII. */
private fun fnv1a(start: Long, text: String): Long {
    var hash = start
    for (character in text) {
        if (character.code > LAST_ASCII) return fnv1a(start, text.encodeToByteArray())
        hash = (hash xor character.code.toLong()) * FNV_PRIME
    }
    return hash
}

private fun fnv1a(start: Long, bytes: ByteArray): Long {
    var hash = start
    for (byte in bytes) hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
    return hash
}

private fun mix(hash: Long): Long {
    var mixed = hash
    mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_SECOND
    return mixed xor (mixed ushr MIX_SHIFT)
}
