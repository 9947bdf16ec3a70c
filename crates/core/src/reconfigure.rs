//! How statistics by request class pass over to other settings.

/// One value for each new class: that of the class that it inherits from, or else a new one.
pub(crate) fn inherit<T: Clone>(
    old: &[T], inherits_from: &[Option<usize>], new: impl Fn(usize) -> T,
) -> Vec<T> {
    let value = |(class, from): (usize, &Option<usize>)| {
        from.and_then(|from| old.get(from).cloned()).unwrap_or_else(|| new(class))
    };
    inherits_from.iter().enumerate().map(value).collect()
}
