/*
 * Divides the servers of a service over its failure domains by the demand of the callers there.
 */
package org.lentilquay.coordination.gateway.scale

import org.lentilquay.state.DomainId

/** How much of a service belongs to one failure domain, and how many servers it may have. */
internal data class DomainShare(val weight: Double, val minimum: Int, val maximum: Int)

/**
 * Divides [total] servers over [shares] by weight, within the limits of each. What does not fit in one failure domain
 * goes to the others; what fits nowhere is left out.
 */
internal fun divide(total: Int, shares: Map<DomainId, DomainShare>): Map<DomainId, Int> {
    val sum = shares.values.sumOf { it.weight }
    val ideal = shares.mapValues { if (sum > 0) total * it.value.weight / sum else total.toDouble() / shares.size }
    val divided = shares.mapValuesTo(sortedMapOf(compareBy { it.text })) { it.value.minimum }
    var left = total - divided.values.sum()
    while (left > 0) {
        val open = divided.filter { (domain, number) -> number < shares.getValue(domain).maximum }
        val next = open.keys.maxByOrNull { ideal.getValue(it) - divided.getValue(it) } ?: break
        divided.merge(next, 1, Int::plus)
        left--
    }
    return divided
}
